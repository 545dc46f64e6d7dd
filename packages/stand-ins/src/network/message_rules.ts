/** Faults that pick single messages: loss and delay by predicate. */
import type {Milliseconds, Unsubscribe} from '@kelpstep/runtime';

import type {Endpoint} from './endpoint';

/** A message as predicates see it. */
export interface MessageInTransit {
  /** IP of the sending host. */
  readonly from: string;
  /** IP of the receiving host. */
  readonly to: string;
  /** Method of the request, or of the request that this answers. */
  readonly method: string | undefined;
  readonly isAnswer: boolean;
  readonly message: unknown;
}

/** Picks messages. */
export type MessagePredicate = (message: MessageInTransit) => boolean;

/** What the rules say of a message. */
export interface MessageFate {
  readonly lost: boolean;
  /** Milliseconds on top of the latency. */
  readonly delay: Milliseconds;
}

/** Rules for messages. */
export interface MessageRules {
  /** Loses the next `count` messages that match. */
  lose(predicate: MessagePredicate, count: number): Unsubscribe;
  /** Delays the next `count` messages that match. */
  delay(
    predicate: MessagePredicate,
    duration: Milliseconds,
    count: number,
  ): Unsubscribe;
  /** Judges a message that leaves `sender` for `receiver`. */
  judge(sender: Endpoint, receiver: Endpoint, message: object): MessageFate;
}

interface Rule {
  readonly predicate: MessagePredicate;
  /** `undefined`: the message is lost. */
  readonly delay: Milliseconds | undefined;
  remaining: number;
}

const UNHARMED: MessageFate = {lost: false, delay: 0};

interface MessageEnvelope {
  readonly id?: unknown;
  readonly method?: string;
}

/** Creates an empty set of rules. */
export function createMessageRules(): MessageRules {
  const rules = new Set<Rule>();

  function add(rule: Rule): Unsubscribe {
    rules.add(rule);
    return () => rules.delete(rule);
  }

  /** Notes requests, so that an answer's method can be told by its id. */
  function inspect(
    sender: Endpoint,
    receiver: Endpoint,
    message: MessageEnvelope,
  ): MessageInTransit {
    const isAnswer = message.method === undefined;
    const asked = receiver.requestMethods;
    const method = isAnswer ? asked.get(message.id) : message.method;
    if (isAnswer) {
      asked.delete(message.id);
    } else if (message.id !== undefined && method !== undefined) {
      sender.requestMethods.set(message.id, method);
    }
    return {from: sender.host, to: receiver.host, method, isAnswer, message};
  }

  function judge(
    sender: Endpoint,
    receiver: Endpoint,
    original: object,
  ): MessageFate {
    const message = inspect(sender, receiver, original);
    let fate = UNHARMED;
    for (const rule of rules) {
      if (!rule.predicate(message)) {
        continue;
      }
      rule.remaining--;
      if (rule.remaining <= 0) {
        rules.delete(rule);
      }
      fate = {
        lost: fate.lost || rule.delay === undefined,
        delay: fate.delay + (rule.delay ?? 0),
      };
    }
    return fate;
  }

  return {
    lose: (predicate, count) =>
      add({predicate, delay: undefined, remaining: count}),
    delay: (predicate, duration, count) =>
      add({predicate, delay: duration, remaining: count}),
    judge,
  };
}
