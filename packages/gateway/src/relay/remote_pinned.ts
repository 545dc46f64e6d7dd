/** Statements of a transaction that runs on another proxy's connection. */
import type {RequestFailure, RpcPeer} from '@kelpstep/rpc';
import {type Milliseconds, mapFuture} from '@kelpstep/runtime';
import type {
  ConnectionLoss,
  SessionSettings,
  SessionStatement,
  StatementAnswer,
  TargetRequest,
} from '@kelpstep/statements';
import type {PinnedConnection} from '@kelpstep/targets';
import {Err, Ok, type Result} from 'ts-results';

import type {DispatchRequest} from '../dispatch_types';
import {refuseInTransaction} from '../session_stop';
import {
  type PinnedResult,
  RELAY_END,
  type RelayedStatement,
  readAnswer,
  relayPinned,
} from './relay_messages';

export interface RemotePinnedOptions {
  readonly peer: RpcPeer;
  /** Number of the statement that began the transaction. */
  readonly requestNumber: number;
  readonly target: string;
  readonly settings: SessionSettings;
  /** Called once, when the transaction has ended. */
  onEnd(): void;
}

/**
 * Margin added to a statement's timeout for the network delay of the answer.
 */
export const ANSWER_MARGIN_MS: Milliseconds = 60;

/** Pins a transaction that a peer has begun, until `end`. */
export function createRemotePinned(
  options: RemotePinnedOptions,
): PinnedConnection {
  const {peer, requestNumber, target, settings} = options;
  let isEnded = false;

  function send(
    {id = '', body}: TargetRequest,
    shape: DispatchRequest['shape'],
    timeout: Milliseconds,
  ) {
    const message = {
      work: requestNumber,
      id,
      statement: toRelayedStatement(body as SessionStatement),
      ...(shape === undefined ? {} : {shape}),
      values: [...settings.values],
      timeout,
    };
    return mapFuture(
      peer.request(relayPinned, message, timeout + ANSWER_MARGIN_MS),
      readPinned,
    );
  }

  return {
    target,
    send,
    end() {
      if (!isEnded) {
        isEnded = true;
        peer.notify(RELAY_END, {work: requestNumber});
        options.onEnd();
      }
    },
  };
}

/**
 * A statement for a peer that has closed the connection before has not run, and
 * its transaction was rolled back when the peer ended.
 */
function readPinned(
  reply: Result<PinnedResult, RequestFailure>,
): Result<StatementAnswer, ConnectionLoss> {
  if (reply.ok && reply.val.kind === 'answered') {
    return Ok(readAnswer(reply.val.answer));
  }
  const isUnsent = reply.err && !reply.val.sent;
  return isUnsent ? Ok(refuseInTransaction()) : Err('closed');
}

/**
 * Returns the statement as sent to another proxy. Throws for a statement that
 * only changes the session, because such statements are never relayed.
 */
export function toRelayedStatement(
  statement: SessionStatement,
): RelayedStatement['statement'] {
  switch (statement.kind) {
    case 'set':
    case 'prepare':
    case 'deallocate':
      throw new Error(
        `${statement.kind} only changes the session; not relayed`,
      );
    default:
      return statement;
  }
}
