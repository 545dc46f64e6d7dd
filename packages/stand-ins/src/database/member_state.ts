/** Term and role of one member of a group. */
import {
  Configuration,
  Failure,
  LogPosition,
  TargetRole,
  compareLogPositions,
  createFailure,
} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import type {CatchUp} from './catch_up';
import type {Store} from './store';

/** What a member knows of its group. */
export interface MemberState {
  role(): TargetRole;
  term(): number;
  /** Address of the primary that it follows. */
  following(): string | undefined;
  /** Refusal of what only the primary of just this term may do. */
  checkPrimary(term: number): Failure | undefined;
  /** Refusal while writes are paused. */
  checkPause(): Failure | undefined;
  /** Refuses lower terms from now on. */
  fence(term: number): Result<undefined, Failure>;
  /**
   * Makes it primary; gives the barrier's position. The barrier takes the
   * configuration if the log holds none.
   */
  promote(
    term: number,
    configuration?: Configuration,
  ): Result<LogPosition, Failure>;
  /** Writes a configuration in place of the one at a position. */
  reconfigure(
    term: number,
    replaces: LogPosition,
    configuration: Configuration,
  ): Result<LogPosition, Failure>;
  /** Makes it a replica of the primary of a term. */
  follow(term: number, primary: string): Result<undefined, Failure>;
  /** Refuses writes for a time. */
  pauseWrites(
    term: number,
    duration: Milliseconds,
  ): Result<LogPosition, Failure>;
}

/** What a member's state is made of. */
export interface MemberStateOptions {
  readonly timer: TimerService;
  readonly store: Store;
  readonly catchUp: CatchUp;
  /** Called before the member stops being primary or replica of a term. */
  readonly onStepDown: () => void;
  /** Called once the member follows a primary. */
  readonly onFollow: (term: number, primary: string) => void;
  readonly onChange: () => void;
}

/** Creates the state of a member that was never part of a term. */
export function createMemberState(options: MemberStateOptions): MemberState {
  const {timer, store, onStepDown, onFollow, onChange} = options;
  let role: TargetRole = 'replica';
  let term = 0;
  let fencedAt: number | undefined;
  let following: string | undefined;
  let barrier: LogPosition | undefined;
  let pausedUntil: Milliseconds | undefined;

  function tooLow(): Failure {
    return createFailure('TERM_TOO_LOW', {term});
  }

  function stepDown(newTerm: number): void {
    onStepDown();
    role = 'replica';
    term = newTerm;
    fencedAt = undefined;
    following = undefined;
    barrier = undefined;
    pausedUntil = undefined;
  }

  function checkPrimary(wanted: number): Failure | undefined {
    if (wanted < term) {
      return tooLow();
    }
    return role === 'primary' && wanted === term
      ? undefined
      : createFailure('NOT_PRIMARY', {term});
  }

  function checkPause(): Failure | undefined {
    const remaining = (pausedUntil ?? -Infinity) - timer.now();
    return remaining > 0
      ? createFailure('WRITES_PAUSED', {retryAfter: remaining})
      : undefined;
  }

  function fence(newTerm: number): Result<undefined, Failure> {
    if (newTerm <= term) {
      return Err(tooLow());
    }
    stepDown(newTerm);
    fencedAt = newTerm;
    onChange();
    return Ok(undefined);
  }

  function promote(
    wanted: number,
    initial?: Configuration,
  ): Result<LogPosition, Failure> {
    if (wanted < term) {
      return Err(tooLow());
    }
    if (barrier !== undefined && wanted === term) {
      return Ok(barrier);
    }
    if (fencedAt !== wanted) {
      return Err(createFailure('NOT_FENCED', {term}));
    }
    fencedAt = undefined;
    role = 'primary';
    options.catchUp.lead();
    const configuration = store.configuration() ? undefined : initial;
    return store
      .write({term, statements: [], answersRows: false, configuration})
      .map(written => {
        barrier = written.at;
        return written.at;
      });
  }

  function reconfigure(
    wanted: number,
    replaces: LogPosition,
    configuration: Configuration,
  ): Result<LogPosition, Failure> {
    const refusal = checkPrimary(wanted) ?? checkPause();
    if (refusal !== undefined) {
      return Err(refusal);
    }
    const current = store.configuration();
    if (
      current === undefined ||
      compareLogPositions(current.at, replaces) !== 0
    ) {
      return Err(createFailure('CONFIGURATION_CHANGED', {term}));
    }
    return store
      .write({term, statements: [], answersRows: false, configuration})
      .map(({at}) => at);
  }

  function follow(
    newTerm: number,
    primary: string,
  ): Result<undefined, Failure> {
    if (newTerm < term) {
      return Err(tooLow());
    }
    if (newTerm === term && role === 'primary') {
      const message = 'It is the primary of this term.';
      return Err(createFailure('NOT_FENCED', {message, term}));
    }
    if (newTerm !== term || following !== primary) {
      stepDown(newTerm);
      following = primary;
      onChange();
      onFollow(newTerm, primary);
    }
    return Ok(undefined);
  }

  function pauseWrites(
    wanted: number,
    duration: Milliseconds,
  ): Result<LogPosition, Failure> {
    const refusal = checkPrimary(wanted);
    if (refusal !== undefined) {
      return Err(refusal);
    }
    pausedUntil = timer.now() + duration;
    return Ok(store.end());
  }

  return {
    role: () => role,
    term: () => term,
    following: () => following,
    checkPrimary,
    checkPause,
    fence,
    promote,
    reconfigure,
    follow,
    pauseWrites,
  };
}
