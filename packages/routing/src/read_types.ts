/** Reads outside of transactions: what goes in and what comes out. */
import type {Execution, LogPosition, Statement} from '@kelpstep/protocol';
import type {RequestContext} from '@kelpstep/request-ledger';
import type {Milliseconds} from '@kelpstep/runtime';

import type {GroupRecord} from './group_record';
import type {ReadPolicy} from './read_policy';

/** A read. */
export interface ReadRequest {
  readonly statement: Statement;
  /** What the session has seen; `undefined`: all that is confirmed. */
  readonly seen: LogPosition | undefined;
  readonly maximumAge: Milliseconds;
}

/** The answer to a read. */
export interface ReadAnswer {
  readonly execution: Execution;
  readonly target: string;
  readonly role: 'primary' | 'replica';
  /** Upper bound of the data's age now. */
  readonly age: Milliseconds;
}

/** What a read needs besides its request. */
export interface ReadOptions {
  readonly context: RequestContext;
  readonly record: GroupRecord;
  readonly policy: ReadPolicy;
  /** The proxy's data centre. */
  readonly dataCentre: string;
}
