/** A connection that carries one request at a time, as cheap as can be. */
import {parseAddress} from '@kelpstep/rpc';
import {connect} from 'node:net';

import type {Protocol} from './load_plan';

/** A connection of a load generator. */
export interface LoadConnection {
  /** Sends the text of a JSON-RPC request. */
  send(body: string, onAnswer: (body: string) => void): void;
  close(): void;
}

const HEAD_END = '\r\n\r\n';
const CONTENT_LENGTH = /content-length: (\d+)/i;

/** Cuts the first whole answer off; undefined if it is not all there. */
type Cut = (
  text: string,
) => {readonly body: string; readonly rest: string} | undefined;

const cutLine: Cut = text => {
  const end = text.indexOf('\n');
  return end < 0
    ? undefined
    : {body: text.slice(0, end), rest: text.slice(end + 1)};
};

/** Answers are plain ASCII here, so that characters are bytes. */
const cutHttp: Cut = text => {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) {
    return undefined;
  }
  const length = Number(CONTENT_LENGTH.exec(text)?.[1] ?? 0);
  const start = headEnd + HEAD_END.length;
  return text.length < start + length
    ? undefined
    : {
        body: text.slice(start, start + length),
        rest: text.slice(start + length),
      };
};

function frame(protocol: Protocol, address: string, body: string): string {
  return protocol === 'lines'
    ? `${body}\n`
    : `POST /rpc HTTP/1.1\r\nhost: ${address}\r\n` +
        'content-type: application/json\r\n' +
        `content-length: ${Buffer.byteLength(body)}${HEAD_END}${body}`;
}

/** Opens a connection; rejects if it can't be had. */
export function openLoadConnection(
  address: string,
  protocol: Protocol,
): Promise<LoadConnection> {
  const cut = protocol === 'lines' ? cutLine : cutHttp;
  const socket = connect(parseAddress(address));
  let pending = '';
  let waiting: ((body: string) => void) | undefined;

  function answer(body: string): void {
    const listener = waiting;
    waiting = undefined;
    listener?.(body);
  }

  socket.setNoDelay(true);
  socket.setEncoding('latin1');
  socket.on('data', chunk => {
    pending += String(chunk);
    const parted = cut(pending);
    if (parted !== undefined) {
      pending = parted.rest;
      answer(parted.body);
    }
  });
  socket.on('close', () => answer('{"error":"connection closed"}'));

  const connection: LoadConnection = {
    send(body, onAnswer) {
      waiting = onAnswer;
      socket.write(frame(protocol, address, body));
    },
    close: () => socket.destroy(),
  };
  return new Promise((resolve, reject) => {
    socket.once('connect', () => resolve(connection));
    socket.on('error', reject);
  });
}
