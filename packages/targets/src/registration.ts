/** What a target says of itself in the platform's list. */

/** One target's entry. */
export interface TargetRegistration {
  readonly target: string;
  readonly group: string;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Statements that it runs at a time. */
  readonly slots: number;
  /** True if it takes no new work and goes away soon. */
  readonly isLeaving: boolean;
  /** How it sees itself; it may not know that it was deposed. */
  readonly role: 'primary' | 'replica';
  /** Wall-clock start in milliseconds; 0 if unknown. A new start is empty. */
  readonly startedAt: number;
}

/** Settings of a group that its targets share. */
export interface GroupSettings {
  readonly group: string;
  /** Connections that a target accepts from all callers together. */
  readonly connectionLimit: number;
  /** Replicas that hold a commit before it is acknowledged. */
  readonly synchronousReplicas: number;
}
