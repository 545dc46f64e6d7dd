/** Queues through which tasks get their messages. */
import {Effect, Task, delay, perform, race} from './effect';
import {Milliseconds} from './timer';

/** A queue of messages with one task reading from it. */
export interface Mailbox<M> {
  /** Adds a message; a task that waits for one is resumed. */
  post(message: M): void;
  /** An effect that ends with the next message. */
  next(): Effect<M>;
  /** Takes the next message if there is one. */
  take(): M | undefined;
  /** Messages that wait. */
  size(): number;
}

/** Creates an empty mailbox. */
export function createMailbox<M>(): Mailbox<M> {
  const messages: M[] = [];
  const readers: Array<(message: M) => void> = [];

  function post(message: M): void {
    const reader = readers.shift();
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
        readers.push(resume);
        return () => {
          const index = readers.indexOf(resume);
          if (index >= 0) {
            readers.splice(index, 1);
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

/** Waits for the next message at most a duration; else `undefined`. */
export function* receiveAtMost<M>(
  mailbox: Mailbox<M>,
  duration: Milliseconds,
): Task<M | undefined> {
  const winner = yield* perform(
    race<M | undefined>([mailbox.next(), delay(duration)]),
  );
  return winner.value;
}
