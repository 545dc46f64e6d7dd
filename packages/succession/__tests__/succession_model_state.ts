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
  /** A pending order of another promoter is repeated for the same target. */
  readonly repeatsOrders: boolean;
  /** The platform rejects epochs below the highest that it has seen. */
  readonly checksEpochs: boolean;
  /**
   * Replicas are resumed only before another promoter takes the row: the resume
   * order is not sent later, and the next change starts after a cooldown.
   */
  readonly resumesInTime: boolean;
  /** Proxies remember a row that the store lost when it was restored. */
  readonly remembersLostRows: boolean;
}

/** All guards enabled, as in production. */
export const ALL_GUARDS: Guards = {
  needsAllReplicas: true,
  stopsReplicas: true,
  comparesVersions: true,
  repeatsOrders: true,
  checksEpochs: true,
  resumesInTime: true,
  remembersLostRows: true,
};

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
}

/** The succession row of the group. */
export interface ModelRow {
  readonly version: number;
  readonly epoch: number;
  readonly phase: 'none' | 'stopping' | 'ordered' | 'done' | 'abandoned';
  readonly target: number;
}

/** State of a promoter between its steps. */
export interface ModelPromoter {
  readonly step: 'idle' | 'stopping' | 'ordered' | 'resuming' | 'ended';
  /** Era of the store in which the row was taken. */
  readonly era: number;
  readonly version: number;
  readonly epoch: number;
  readonly from: number;
  readonly target: number;
  /** Log lengths that paused replicas answered; -1 before an answer. */
  readonly answers: readonly number[];
  readonly starts: number;
  /** Number of promotion orders sent. */
  readonly sent: number;
}

/** A promotion order in transit to the platform. */
export interface ModelOrder {
  readonly epoch: number;
  readonly target: number;
}

/** A state of the search; states with equal JSON are the same. */
export interface ModelState {
  readonly targets: readonly ModelTarget[];
  readonly leader: number;
  /** Number of times that the store was restored from a copy. */
  readonly era: number;
  readonly row: ModelRow;
  readonly promoters: readonly ModelPromoter[];
  readonly orders: readonly ModelOrder[];
  readonly fence: number;
  readonly acknowledged: readonly string[];
  readonly commits: number;
  readonly crashes: number;
}

/** The targets; the first is the initial primary. */
export const TARGETS = [0, 1, 2] as const;
export const PROMOTERS = [0, 1] as const;
/** Bounds that keep the search finite. */
export const MAXIMUM_COMMITS = 2;
export const MAXIMUM_STARTS = 1;
export const MAXIMUM_ORDERS = 2;
export const MAXIMUM_RESTORES = 1;
/** Epochs of each era, more than one era uses. */
export const EPOCHS_PER_ERA = 10;

const IDLE_PROMOTER: ModelPromoter = {
  step: 'idle',
  era: 0,
  version: 0,
  epoch: 0,
  from: -1,
  target: -1,
  answers: [-1, -1, -1],
  starts: 0,
  sent: 0,
};

export const INITIAL_ROW: ModelRow = {
  version: 0,
  epoch: 0,
  phase: 'none',
  target: -1,
};

export const INITIAL_STATE: ModelState = {
  targets: TARGETS.map(() => ({
    log: [],
    term: 1,
    pausedAt: 0,
    isRunning: true,
  })),
  leader: 0,
  era: 0,
  row: INITIAL_ROW,
  promoters: [IDLE_PROMOTER, IDLE_PROMOTER],
  orders: [],
  fence: 0,
  acknowledged: [],
  commits: 0,
  crashes: 0,
};
