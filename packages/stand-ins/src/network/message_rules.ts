/** Injects loss and delay of single messages, selected by predicates. */
import type {Milliseconds, Unsubscribe} from '@kelpstep/runtime';

import type {Endpoint} from './endpoint';

/** A message with its hosts and its method, as predicates receive it. */
export interface MessageInTransit {
  /** IP address of the sending host. */
  readonly from: string;
  /** IP address of the receiving host. */
  readonly to: string;
  /** Method of the message; for an answer, the method of its request. */
  readonly method: string | undefined;
  readonly isAnswer: boolean;
  readonly message: unknown;
}

/** Returns true for the messages to which a loss or delay applies. */
export type MessagePredicate = (message: MessageInTransit) => boolean;

/** Combined effect of the rules on a message. */
export interface MessageEffect {
  readonly lost: boolean;
  /** Delay added to the latency. */
  readonly delay: Milliseconds;
}

/** Loss and delay rules of one network. */
export interface MessageRules {
  /** Drops the next `count` matching messages. */
  lose(predicate: MessagePredicate, count: number): Unsubscribe;
  /** Delays the next `count` matching messages. */
  delay(
    predicate: MessagePredicate,
    duration: Milliseconds,
    count: number,
  ): Unsubscribe;
  /** Applies the rules to a message sent from `sender` to `receiver`. */
  apply(sender: Endpoint, receiver: Endpoint, message: object): MessageEffect;
}

interface Rule {
  readonly predicate: MessagePredicate;
  /** Delay to add; `undefined` drops the message. */
  readonly delay: Milliseconds | undefined;
  remaining: number;
}

const NO_EFFECT: MessageEffect = {lost: false, delay: 0};

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

  /** Records requests by id, to find the method that an answer belongs to. */
  function describeMessage(
    sender: Endpoint,
    receiver: Endpoint,
    message: MessageEnvelope,
  ): MessageInTransit {
    const isAnswer = message.method === undefined;
    const requestMethods = receiver.requestMethods;
    const method = isAnswer ? requestMethods.get(message.id) : message.method;
    if (isAnswer) {
      requestMethods.delete(message.id);
    } else if (message.id !== undefined && method !== undefined) {
      sender.requestMethods.set(message.id, method);
    }
    return {from: sender.host, to: receiver.host, method, isAnswer, message};
  }

  function apply(
    sender: Endpoint,
    receiver: Endpoint,
    original: object,
  ): MessageEffect {
    const message = describeMessage(sender, receiver, original);
    let effect = NO_EFFECT;
    for (const rule of rules) {
      if (!rule.predicate(message)) {
        continue;
      }
      rule.remaining--;
      if (rule.remaining <= 0) {
        rules.delete(rule);
      }
      effect = {
        lost: effect.lost || rule.delay === undefined,
        delay: effect.delay + (rule.delay ?? 0),
      };
    }
    return effect;
  }

  return {
    lose: (predicate, count) =>
      add({predicate, delay: undefined, remaining: count}),
    delay: (predicate, duration, count) =>
      add({predicate, delay: duration, remaining: count}),
    apply,
  };
}
