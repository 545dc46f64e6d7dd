/** Sends a request to several members and collects the replies. */
import type {Failure, Method} from '@kelpstep/protocol';
import {
  Milliseconds,
  TimerService,
  Task,
  createMailbox,
  receiveWithTimeout,
} from '@kelpstep/runtime';

import type {MemberLink} from './member_link';

/** Outcome of the request at one member; neither field if it didn't answer. */
export interface MemberReply<R> {
  readonly memberId: string;
  readonly result?: R;
  /** Present if the member refused the request. */
  readonly refusal?: Failure;
}

/**
 * Sends the request to all members concurrently. Returns when each has
 * answered or failed, or after the timeout. Members that have done neither by
 * then are missing from the result.
 */
export function* requestFromMembers<P, R>(
  timer: TimerService,
  links: readonly MemberLink[],
  method: Method<P, R>,
  parameters: P,
  timeout: Milliseconds,
): Task<Array<MemberReply<R>>> {
  const mailbox = createMailbox<MemberReply<R>>();
  for (const link of links) {
    const memberId = link.member.id;
    link.request(method, parameters, timeout).onSettled(reply => {
      if (reply.ok) {
        mailbox.post({memberId, result: reply.val});
      } else if (reply.val.kind === 'refused') {
        mailbox.post({memberId, refusal: reply.val.failure});
      } else {
        mailbox.post({memberId});
      }
    });
  }
  const deadline = timer.now() + timeout;
  const replies: Array<MemberReply<R>> = [];
  while (replies.length < links.length) {
    const reply = yield* receiveWithTimeout(mailbox, deadline - timer.now());
    if (reply === undefined) {
      break;
    }
    replies.push(reply);
  }
  return replies;
}

/** Returns the results of the successful replies. */
export function resultsOf<R>(replies: ReadonlyArray<MemberReply<R>>): R[] {
  return replies.flatMap(reply =>
    reply.result === undefined ? [] : [reply.result],
  );
}
