/** Types of reads outside of transactions. */
import type {Execution, LogPosition, Statement} from '@kelpstep/protocol';
import type {RequestContext} from '@kelpstep/request-ledger';
import type {Milliseconds} from '@kelpstep/runtime';

import type {GroupRecord} from './group_record';
import type {ReadPolicy} from './read_policy';

/** A read. */
export interface ReadRequest {
  readonly statement: Statement;
  /**
   * Position that the session has seen; undefined requires all confirmed data.
   */
  readonly seen: LogPosition | undefined;
  readonly maximumAge: Milliseconds;
}

/** The answer to a read. */
export interface ReadAnswer {
  readonly execution: Execution;
  readonly target: string;
  readonly role: 'primary' | 'replica';
  /** Upper bound for the age of the data at the time of the answer. */
  readonly age: Milliseconds;
}

/** The context that a read is served in. */
export interface ReadOptions {
  readonly context: RequestContext;
  readonly record: GroupRecord;
  readonly policy: ReadPolicy;
  /** The proxy's data centre. */
  readonly dataCentre: string;
}
