/** A caller's session connection, implemented by an adapter. */
import type {Mailbox} from '@kelpstep/runtime';
import type {CallerRequest, StatementAnswer} from '@kelpstep/statements';

/** Messages that a caller's connection delivers. */
export type CallerMessage =
  | {readonly kind: 'request'; readonly request: CallerRequest}
  /** The caller disconnected or violated the protocol. */
  | {readonly kind: 'closed'}
  /** The gateway is stopping: an idle session ends. */
  | {readonly kind: 'stop'};

/** A caller's connection whose session has started. */
export interface CallerConnection {
  /** Database name that the caller requested. */
  readonly database: string;
  /** Digest of the key that the caller presented. */
  readonly keyDigest: string;
  readonly messages: Mailbox<CallerMessage>;
  isClosed(): boolean;
  answer(answer: StatementAnswer): void;
  /** Closes the connection after the answers that were sent before. */
  close(): void;
}
