/** Types of the functions that serve reads outside of transactions. */
import type {Execution, LogPosition, Statement} from '@kelpstep/protocol';
import type {RequestContext} from '@kelpstep/request-ledger';
import type {Milliseconds} from '@kelpstep/runtime';

import type {GroupRecord} from './group_record';
import type {ReadPolicy} from './read_policy';

/** A read outside of transactions. */
export interface ReadRequest {
  readonly statement: Statement;
  /** Position in the session's token; undefined requires all confirmed data. */
  readonly seen: LogPosition | undefined;
  readonly maximumAge: Milliseconds;
}

export interface ReadAnswer {
  readonly execution: Execution;
  readonly target: string;
  readonly role: 'primary' | 'replica';
  /** Upper bound for the age of the data at the time of the answer. */
  readonly age: Milliseconds;
}

/** Context in which a read is served: its request, its group and the policy. */
export interface ReadOptions {
  readonly context: RequestContext;
  readonly record: GroupRecord;
  readonly policy: ReadPolicy;
  /**
   * Data centre of this proxy; round trips within it are assumed to be short.
   */
  readonly dataCentre: string;
}
