/** A caller's session connection; an adapter implements it. */
import type {Mailbox} from '@kelpstep/runtime';
import type {CallerRequest, StatementAnswer} from '@kelpstep/statements';

/** What a caller's connection brings. */
export type CallerMessage =
  | {readonly kind: 'request'; readonly request: CallerRequest}
  /** The caller left, or broke the protocol. */
  | {readonly kind: 'closed'}
  /** The gateway stops: an idle session is to end. */
  | {readonly kind: 'stop'};

/** A session's connection after its start. */
export interface CallerConnection {
  /** Name that the caller asked for. */
  readonly database: string;
  /** Digest of the key that the caller gave. */
  readonly keyDigest: string;
  readonly messages: Mailbox<CallerMessage>;
  isClosed(): boolean;
  answer(answer: StatementAnswer): void;
  /** Ends the connection after what was answered. */
  close(): void;
}
