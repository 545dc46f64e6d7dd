/** What the platform registers about targets and their groups. */

/** What the platform registers about one target. */
export interface TargetRegistration {
  readonly target: string;
  readonly group: string;
  /** Address in the form `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Number of statements that it runs concurrently. */
  readonly slots: number;
  /** True if it accepts no new statements and is about to be removed. */
  readonly isLeaving: boolean;
  /** Role reported by the target, which may not know yet of its demotion. */
  readonly role: 'primary' | 'replica';
  /**
   * Wall-clock start time in milliseconds; 0 if unknown. A restarted target has
   * lost its data.
   */
  readonly startedAt: number;
}

/** Settings that apply to all targets of a group. */
export interface GroupSettings {
  readonly group: string;
  /** Maximum number of connections that a target accepts from all proxies. */
  readonly connectionLimit: number;
  /**
   * Number of replicas that must receive a commit before it is acknowledged.
   */
  readonly synchronousReplicas: number;
}
