/** Defines the states of the succession search, its guards and its faults. */
import {
  type CompleteLog,
  type Guards,
  ALL_GUARDS as MODEL_GUARDS,
  MAXIMUM_STARTS,
  type ModelOrder,
  NO_COMPLETE_LOG,
  TARGETS,
} from './succession_model_state';

/** Safety rules; those of the succession model and further ones. */
export interface SearchGuards extends Guards {
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
   * A proxy that has started relies on the record of copies only once targets
   * that joined before its start must be listed.
   */
  readonly startsUncertain: boolean;
  /**
   * While an order for a target that was given up may take effect, the success
   * of writes is withheld at every target, and the change doesn't end.
   */
  readonly withholdsWhileContested: boolean;
  /**
   * A primary that an earlier change has demoted vouches for its own log: it has
   * not been promoted or rolled back since, as it is still in the term it led.
   */
  readonly findsDemotedPrimary: boolean;
  /**
   * It does so only if its log is not empty, and no other one is longer: it may
   * have started without its log.
   */
  readonly checksLogOfPrimary: boolean;
}

/** All guards enabled, as in production. */
export const ALL_GUARDS: SearchGuards = {
  ...MODEL_GUARDS,
  recordsCopies: true,
  waitsForPrimary: true,
  startsUncertain: true,
  withholdsWhileContested: true,
  findsDemotedPrimary: true,
  checksLogOfPrimary: true,
};

export type FaultKind =
  | 'primaryCrashes'
  | 'primaryIsCut'
  | 'primaryIsRemoved'
  | 'primaryReturnsEmpty'
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
export interface SearchTarget {
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

/** The row that tells when the replicas last held all commits. */
export interface CopyRecord {
  /** Term of the primary then. */
  readonly term: number;
  /** True if a recorded target has left, or has started without its log. */
  readonly isBroken: boolean;
}

/** The succession row of the group. */
export interface SearchRow {
  readonly epoch: number;
  readonly phase: 'none' | 'stopping' | 'ordered' | 'done' | 'abandoned';
  readonly target: number;
  /** True if an order for another target may still be executed. */
  readonly isContested: boolean;
  readonly complete: CompleteLog;
}

/** State of a promoter between its steps. */
export interface SearchPromoter {
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
  /**
   * Log length of the primary if this promoter found it demoted, and nobody told
   * the length that it had; -1 otherwise.
   */
  readonly foundEnd: number;
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

/** A state of the search; equal states are searched once. */
export interface SearchState {
  readonly targets: readonly SearchTarget[];
  readonly leader: number;
  /** True if the leader was demoted and no promotion has taken effect since. */
  readonly isDemoted: boolean;
  /** True if no promoter reaches the primary that proxies still reach. */
  readonly isCut: boolean;
  /** True if some proxies don't know the succession row. */
  readonly hasUninformed: boolean;
  /** True if a target took copies along that no other replica has received. */
  readonly mayLackCopies: boolean;
  /**
   * True if a proxy has started since a replica was last seen with all of the
   * primary's log, and relies on the record of copies.
   */
  readonly hasStarted: boolean;
  /** Log length that includes every commit known to a proxy as acknowledged. */
  readonly knownCommits: number;
  readonly record: CopyRecord;
  /** Number of times that the store was restored from a copy. */
  readonly era: number;
  readonly row: SearchRow;
  readonly promoters: readonly SearchPromoter[];
  readonly orders: readonly ModelOrder[];
  readonly fence: number;
  readonly acknowledged: readonly number[];
  readonly commits: number;
  /** Number of faults other than late and lost messages. */
  readonly faults: number;
}

export const IDLE_PROMOTER: SearchPromoter = {
  step: 'idle',
  holdsRow: false,
  epoch: 0,
  from: -1,
  fromTerm: 0,
  target: -1,
  primaryEnd: -1,
  foundEnd: -1,
  complete: NO_COMPLETE_LOG,
  answers: [-1, -1, -1],
  starts: 0,
  sent: 0,
  sawStopped: false,
  choices: 0,
};

/** A promoter that takes no further step. */
export const ENDED_PROMOTER: SearchPromoter = {
  ...IDLE_PROMOTER,
  step: 'ended',
  starts: MAXIMUM_STARTS,
};

export const INITIAL_ROW: SearchRow = {
  epoch: 0,
  phase: 'none',
  target: -1,
  isContested: false,
  complete: NO_COMPLETE_LOG,
};

export const INITIAL_STATE: SearchState = {
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
  hasStarted: false,
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
