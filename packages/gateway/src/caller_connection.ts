/** A caller's session connection, implemented by an adapter. */
import type {Mailbox} from '@kelpstep/runtime';
import type {CallerRequest, StatementAnswer} from '@kelpstep/statements';

/** Messages to a session: from its caller's connection or from the gateway. */
export type CallerMessage =
  | {readonly kind: 'request'; readonly request: CallerRequest}
  /** The caller disconnected or violated the protocol. */
  | {readonly kind: 'closed'}
  /** The gateway is stopping: an idle session ends. */
  | {readonly kind: 'stop'};

/** A caller's connection after the start-up of its session. */
export interface CallerConnection {
  /** Database name that the caller requested. */
  readonly database: string;
  /** Digest of the key that the caller presented. */
  readonly keyDigest: string;
  readonly messages: Mailbox<CallerMessage>;
  isClosed(): boolean;
  answer(answer: StatementAnswer): void;
  /** Closes the connection after all earlier answers have been sent. */
  close(): void;
}
