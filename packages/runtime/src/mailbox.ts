/** Message queues of tasks. */
import {Effect, Task, delay, perform, race} from './effect';
import {Milliseconds} from './timer';

/** A queue of messages that one task reads. */
export interface Mailbox<M> {
  /** Adds a message and resumes a waiting task. */
  post(message: M): void;
  /** Creates an effect that completes with the next message. */
  next(): Effect<M>;
  /** Removes and returns the next message, if any. */
  take(): M | undefined;
  /** Number of queued messages. */
  size(): number;
}

/** Creates a mailbox whose messages are read in the order of posting. */
export function createMailbox<M>(): Mailbox<M> {
  const messages: M[] = [];
  const pendingReaders: Array<(message: M) => void> = [];

  function post(message: M): void {
    const reader = pendingReaders.shift();
    if (reader === undefined) {
      messages.push(message);
    } else {
      reader(message);
    }
  }

  function next(): Effect<M> {
    return {
      start(unusedTimer, resume) {
        if (messages.length > 0) {
          resume(messages.shift() as M);
          return () => {};
        }
        pendingReaders.push(resume);
        return () => {
          const index = pendingReaders.indexOf(resume);
          if (index >= 0) {
            pendingReaders.splice(index, 1);
          }
        };
      },
    };
  }

  return {
    post,
    next,
    take: () => messages.shift(),
    size: () => messages.length,
  };
}

/** Waits for the next message of a mailbox. */
export function* receive<M>(mailbox: Mailbox<M>): Task<M> {
  return yield* perform(mailbox.next());
}

/** Waits for the next message; `undefined` if none arrives in the duration. */
export function* receiveWithTimeout<M>(
  mailbox: Mailbox<M>,
  duration: Milliseconds,
): Task<M | undefined> {
  const winner = yield* perform(
    race<M | undefined>([mailbox.next(), delay(duration)]),
  );
  return winner.value;
}
