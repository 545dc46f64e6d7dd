/** States of the model of a change of primary. */

/** What may be switched off, to see that the search then finds a fault. */
export interface Guards {
  /** Every replica has to answer before the choice. */
  readonly needsAllReplicas: boolean;
  /** Replicas stop receiving before they are compared. */
  readonly stopsReplicas: boolean;
  /** The row is written only if nobody else has written it. */
  readonly comparesVersions: boolean;
  /** An order of another holder is repeated, not replaced. */
  readonly repeatsOrders: boolean;
  /** The platform refuses epochs below the highest it has seen. */
  readonly checksEpochs: boolean;
  /**
   * Replicas are told to receive again only before anyone else takes the row:
   * the order is not sent later, and the next change keeps a distance.
   */
  readonly resumesInTime: boolean;
}

/** All guards on, as in the product. */
export const ALL_GUARDS: Guards = {
  needsAllReplicas: true,
  stopsReplicas: true,
  comparesVersions: true,
  repeatsOrders: true,
  checksEpochs: true,
  resumesInTime: true,
};

/** A target and what it holds. */
export interface ModelTarget {
  /** Commits by name; the term of each stands before it. */
  readonly log: readonly string[];
  readonly term: number;
  readonly pausedAt: number;
  readonly up: boolean;
}

/** The group's row. */
export interface ModelRow {
  readonly version: number;
  readonly epoch: number;
  readonly phase: 'none' | 'stopping' | 'ordered' | 'done' | 'abandoned';
  readonly target: number;
}

/** A promoter between its steps. */
export interface ModelPromoter {
  readonly step: 'idle' | 'stopping' | 'ordered' | 'resuming' | 'ended';
  readonly version: number;
  readonly epoch: number;
  readonly from: number;
  readonly target: number;
  /** Log lengths that stopped replicas answered; -1: no answer yet. */
  readonly answers: readonly number[];
  readonly starts: number;
  /** Orders that it has sent for its choice. */
  readonly sent: number;
}

/** An order on its way to the platform. */
export interface ModelOrder {
  readonly epoch: number;
  readonly target: number;
}

/** All that the search tells states apart by. */
export interface ModelState {
  readonly targets: readonly ModelTarget[];
  readonly leader: number;
  readonly row: ModelRow;
  readonly promoters: readonly ModelPromoter[];
  readonly orders: readonly ModelOrder[];
  readonly fence: number;
  readonly acknowledged: readonly string[];
  readonly commits: number;
  readonly crashes: number;
}

/** The targets; the first one leads at the start. */
export const TARGETS = [0, 1, 2] as const;
/** The promoters. */
export const PROMOTERS = [0, 1] as const;
/** Bounds that keep the search finite. */
export const MAXIMUM_COMMITS = 2;
export const MAXIMUM_STARTS = 1;
export const MAXIMUM_ORDERS = 2;

const IDLE: ModelPromoter = {
  step: 'idle',
  version: 0,
  epoch: 0,
  from: -1,
  target: -1,
  answers: [-1, -1, -1],
  starts: 0,
  sent: 0,
};

/** Where the search starts. */
export const START: ModelState = {
  targets: TARGETS.map(() => ({log: [], term: 1, pausedAt: 0, up: true})),
  leader: 0,
  row: {version: 0, epoch: 0, phase: 'none', target: -1},
  promoters: [IDLE, IDLE],
  orders: [],
  fence: 0,
  acknowledged: [],
  commits: 0,
  crashes: 0,
};
