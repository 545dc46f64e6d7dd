/** Defines the states of the succession model, its guards and its bounds. */

/**
 * Safety rules of a change of primary. Each can be disabled, to check that the
 * search then finds a counterexample.
 */
export interface Guards {
  /** Every replica must answer before a target is selected. */
  readonly needsAllReplicas: boolean;
  /** Replicas are paused before their logs are compared. */
  readonly stopsReplicas: boolean;
  /** The row is written only if its version is unchanged. */
  readonly comparesVersions: boolean;
  /**
   * A pending order of another promoter stays pending, also while its target is
   * not reached.
   */
  readonly keepsOrders: boolean;
  /** A primary that is reached is demoted before a promotion is ordered. */
  readonly stopsPrimary: boolean;
  /**
   * The logs are compared again once the primary is stopped, before each order
   * of this or another promoter.
   */
  readonly comparesAgain: boolean;
  /** No target is selected if one knows a newer term than the primary's. */
  readonly checksTerms: boolean;
  /**
   * Proxies that know a pending order withhold the success of writes at another
   * target than its own.
   */
  readonly withholdsSuccess: boolean;
  /**
   * A change that is done has a last order for the target that leads executed,
   * so that earlier orders are refused.
   */
  readonly fencesOrders: boolean;
  /** The platform rejects epochs below the highest that it has seen. */
  readonly checksEpochs: boolean;
  /**
   * Replicas are resumed only before another promoter takes the row: the resume
   * order is not sent later, and the next change starts after a cooldown.
   */
  readonly resumesInTime: boolean;
  /** Proxies remember a row that the store lost when it was restored. */
  readonly remembersLostRows: boolean;
  /** A log that lacks an acknowledged commit, as proxies know, is passed over. */
  readonly asksForCommits: boolean;
  /**
   * A log that ends before the demoted primary's is passed over while the copies
   * of a target that left, or lost its log, have not been replaced.
   */
  readonly countsLostCopies: boolean;
}

/** All guards enabled, as in production. */
export const ALL_GUARDS: Guards = {
  needsAllReplicas: true,
  stopsReplicas: true,
  comparesVersions: true,
  keepsOrders: true,
  stopsPrimary: true,
  comparesAgain: true,
  checksTerms: true,
  withholdsSuccess: true,
  fencesOrders: true,
  checksEpochs: true,
  resumesInTime: true,
  remembersLostRows: true,
  asksForCommits: true,
  countsLostCopies: true,
};

/**
 * When a target may lose its log. `unlessOrdered`: only if no order for it is
 * being carried out, or is in transit and would still be executed.
 */
export type LogLoss = 'unlessOrdered' | 'always';

/**
 * State of a target in the model; a target that is not running answers nothing.
 */
export interface ModelTarget {
  /** Names of commits, each `TERM.NUMBER`. */
  readonly log: readonly string[];
  readonly term: number;
  /** Term of the order that paused it; 0 while it is not paused. */
  readonly pausedAt: number;
  readonly isRunning: boolean;
  /** False if the table does not show it: it has left, or has just joined. */
  readonly isListed: boolean;
}

/** A log length that holds all commits; -1 if it is not known. */
export interface CompleteLog {
  readonly end: number;
  /** Length of the demoted primary's log then; -1 without one. */
  readonly primaryEnd: number;
}

export const NO_COMPLETE_LOG: CompleteLog = {end: -1, primaryEnd: -1};

/** The succession row of the group. */
export interface ModelRow {
  readonly version: number;
  readonly epoch: number;
  readonly phase: 'none' | 'stopping' | 'ordered' | 'done' | 'abandoned';
  readonly target: number;
  readonly complete: CompleteLog;
}

/** State of a promoter between its steps. */
export interface ModelPromoter {
  readonly step: 'idle' | 'stopping' | 'ordered' | 'resuming' | 'ended';
  /** Era of the store in which the row was taken. */
  readonly era: number;
  readonly version: number;
  readonly epoch: number;
  readonly from: number;
  /** Term in which `from` led, as far as this promoter knows. */
  readonly fromTerm: number;
  readonly target: number;
  /** Log length of the primary that this promoter demoted; -1 without one. */
  readonly primaryEnd: number;
  /** What the last order relied on. */
  readonly complete: CompleteLog;
  /** Log lengths that paused replicas answered; -1 before an answer. */
  readonly answers: readonly number[];
  readonly starts: number;
  /** Number of promotion orders sent. */
  readonly sent: number;
  /** True once this promoter has demoted its primary, or did not reach it. */
  readonly sawStopped: boolean;
  /** Number of targets selected. */
  readonly choices: number;
}

/**
 * A promotion order in transit to the platform, or executed and not yet in
 * effect.
 */
export interface ModelOrder {
  readonly epoch: number;
  readonly target: number;
  readonly isExecuted: boolean;
}

/** A state of the search; states with equal JSON are the same. */
export interface ModelState {
  readonly targets: readonly ModelTarget[];
  readonly leader: number;
  /** True if the leader was demoted and no promotion has taken effect since. */
  readonly isDemoted: boolean;
  /** True if no promoter reaches the primary that proxies still reach. */
  readonly isCut: boolean;
  /** True if some proxies don't know the succession row. */
  readonly hasUninformed: boolean;
  /** True if a target took copies along that no other replica has received. */
  readonly mayLackCopies: boolean;
  /** Log length that includes every commit known to a proxy as acknowledged. */
  readonly knownCommits: number;
  /** Number of times that the store was restored from a copy. */
  readonly era: number;
  readonly row: ModelRow;
  readonly promoters: readonly ModelPromoter[];
  readonly orders: readonly ModelOrder[];
  readonly fence: number;
  readonly acknowledged: readonly string[];
  readonly commits: number;
  /** Number of faults other than late and lost messages. */
  readonly faults: number;
}

/** The targets; the first is the initial primary. */
export const TARGETS = [0, 1, 2] as const;
export const PROMOTERS = [0, 1] as const;
/** Bounds that keep the search finite. */
export const MAXIMUM_COMMITS = 2;
export const MAXIMUM_STARTS = 1;
export const MAXIMUM_ORDERS = 2;
export const MAXIMUM_CHOICES = 2;
export const MAXIMUM_RESTORES = 1;
export const MAXIMUM_FAULTS = 2;
/** Epochs of each era, more than one era uses. */
export const EPOCHS_PER_ERA = 10;

const IDLE_PROMOTER: ModelPromoter = {
  step: 'idle',
  era: 0,
  version: 0,
  epoch: 0,
  from: -1,
  fromTerm: 0,
  target: -1,
  primaryEnd: -1,
  complete: NO_COMPLETE_LOG,
  answers: [-1, -1, -1],
  starts: 0,
  sent: 0,
  sawStopped: false,
  choices: 0,
};

export const INITIAL_ROW: ModelRow = {
  version: 0,
  epoch: 0,
  phase: 'none',
  target: -1,
  complete: NO_COMPLETE_LOG,
};

export const INITIAL_STATE: ModelState = {
  targets: TARGETS.map(() => ({
    log: [],
    term: 1,
    pausedAt: 0,
    isRunning: true,
    isListed: true,
  })),
  leader: 0,
  isDemoted: false,
  isCut: false,
  hasUninformed: false,
  mayLackCopies: false,
  knownCommits: 0,
  era: 0,
  row: INITIAL_ROW,
  promoters: [IDLE_PROMOTER, IDLE_PROMOTER],
  orders: [],
  fence: 0,
  acknowledged: [],
  commits: 0,
  faults: 0,
};
