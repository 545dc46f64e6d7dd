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
  /**
   * A row of the store tells which targets were listed when a replica was last
   * seen with all of the primary's log, so that a loss outlives the proxies.
   */
  readonly recordsCopies: boolean;
  /**
   * No replica is selected while copies may be lacking and the primary, which is
   * listed, has not been demoted.
   */
  readonly waitsForPrimary: boolean;
  /**
   * No other target is selected while an executed order for the replaced or the
   * selected target may still take effect.
   */
  readonly settlesPromotions: boolean;
  /**
   * A proxy that starts counts copies as lacking until it sees a replica with
   * all of the primary's log.
   */
  readonly startsUncertain: boolean;
  /**
   * While an order for a target that was given up may take effect, the success
   * of writes is withheld at every target, and the change doesn't end.
   */
  readonly withholdsWhileContested: boolean;
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
  recordsCopies: true,
  waitsForPrimary: true,
  settlesPromotions: true,
  startsUncertain: true,
  withholdsWhileContested: true,
};

/**
 * When a target may lose its log. `unlessOrdered`: only if no order for it is
 * being carried out, or is in transit and would still be executed.
 */
export type LogLoss = 'unlessOrdered' | 'always';

export type FaultKind =
  | 'primaryCrashes'
  | 'primaryIsCut'
  | 'primaryIsRemoved'
  | 'rowIsUnknown'
  | 'replicaRestarts'
  | 'replicaLeaves'
  | 'replicaReturnsEmpty'
  | 'targetJoins'
  | 'registrationLapses'
  | 'proxyRestarts'
  | 'allProxiesRestart'
  | 'storeIsRestored';

/** The faults of a search. */
export interface FaultMix {
  readonly kinds: readonly FaultKind[];
  readonly maximum: number;
  /** Number of targets at the start; the others may join. */
  readonly targets: number;
  readonly commits: number;
  /** Maximum number of orders of a promoter. */
  readonly orders: number;
  /** Maximum number of targets that a promoter selects. */
  readonly choices: number;
}

/**
 * State of a target in the model; a target that is not running answers nothing.
 */
export interface ModelTarget {
  /** Numbers of commits, in the order of their writes. */
  readonly log: readonly number[];
  readonly term: number;
  /** Term of the order that paused it; 0 while it is not paused. */
  readonly pausedAt: number;
  readonly isRunning: boolean;
  /** False if the table does not show it: it has left, or has just joined. */
  readonly isListed: boolean;
  /** True if the record of copies names this start of the target. */
  readonly isRecorded: boolean;
}

/** A log length that holds all commits; -1 if it is not known. */
export interface CompleteLog {
  readonly end: number;
  /** Length of the demoted primary's log then; -1 without one. */
  readonly primaryEnd: number;
}

export const NO_COMPLETE_LOG: CompleteLog = {end: -1, primaryEnd: -1};

/** The row that tells when the replicas last held all commits. */
export interface ModelRecord {
  /** Term of the primary then. */
  readonly term: number;
  /** True if a recorded target has left, or has started without its log. */
  readonly isBroken: boolean;
}

/** The succession row of the group. */
export interface ModelRow {
  readonly epoch: number;
  readonly phase: 'none' | 'stopping' | 'ordered' | 'done' | 'abandoned';
  readonly target: number;
  /** True if an order for another target may still be executed. */
  readonly isContested: boolean;
  readonly complete: CompleteLog;
}

/** State of a promoter between its steps. */
export interface ModelPromoter {
  readonly step: 'idle' | 'stopping' | 'ordered' | 'resuming' | 'ended';
  /** True if nobody else has written the row since, and the store keeps it. */
  readonly holdsRow: boolean;
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
  readonly record: ModelRecord;
  /** Number of times that the store was restored from a copy. */
  readonly era: number;
  readonly row: ModelRow;
  readonly promoters: readonly ModelPromoter[];
  readonly orders: readonly ModelOrder[];
  readonly fence: number;
  readonly acknowledged: readonly number[];
  readonly commits: number;
  /** Number of faults other than late and lost messages. */
  readonly faults: number;
}

/** The targets; the first is the initial primary. */
export const TARGETS = [0, 1, 2] as const;
export const PROMOTERS = [0, 1] as const;
/** Bounds that keep the search finite. */
export const MAXIMUM_STARTS = 1;
export const MAXIMUM_RESTORES = 1;
/** Epochs of each era, more than one era uses. */
export const EPOCHS_PER_ERA = 10;

export const IDLE_PROMOTER: ModelPromoter = {
  step: 'idle',
  holdsRow: false,
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

/** A promoter that takes no further step. */
export const ENDED_PROMOTER: ModelPromoter = {
  ...IDLE_PROMOTER,
  step: 'ended',
  starts: MAXIMUM_STARTS,
};

export const INITIAL_ROW: ModelRow = {
  epoch: 0,
  phase: 'none',
  target: -1,
  isContested: false,
  complete: NO_COMPLETE_LOG,
};

export const INITIAL_STATE: ModelState = {
  targets: TARGETS.map(() => ({
    log: [],
    term: 1,
    pausedAt: 0,
    isRunning: true,
    isListed: true,
    isRecorded: true,
  })),
  leader: 0,
  isDemoted: false,
  isCut: false,
  hasUninformed: false,
  mayLackCopies: false,
  knownCommits: 0,
  record: {term: 1, isBroken: false},
  era: 0,
  row: INITIAL_ROW,
  promoters: [IDLE_PROMOTER, IDLE_PROMOTER],
  orders: [],
  fence: 0,
  acknowledged: [],
  commits: 0,
  faults: 0,
};
