/** Minimal client connection with one request at a time, to keep load cheap. */
import {parseAddress} from '@kelpstep/rpc';
import {connect} from 'node:net';

import type {Protocol} from './load_plan';

/** A connection on which at most one request is outstanding. */
export interface LoadConnection {
  /** Sends the text of a JSON-RPC request. */
  send(body: string, onAnswer: (body: string) => void): void;
  close(): void;
}

const HEAD_END = '\r\n\r\n';
const CONTENT_LENGTH = /content-length: (\d+)/i;

/** Splits off the first answer; undefined while the answer is incomplete. */
type ParseAnswer = (
  text: string,
) => {readonly body: string; readonly rest: string} | undefined;

const parseLine: ParseAnswer = text => {
  const end = text.indexOf('\n');
  return end < 0
    ? undefined
    : {body: text.slice(0, end), rest: text.slice(end + 1)};
};

/** Answers are ASCII here, so the content length is a count of characters. */
const parseHttp: ParseAnswer = text => {
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

function frameRequest(
  protocol: Protocol,
  address: string,
  body: string,
): string {
  return protocol === 'lines'
    ? `${body}\n`
    : `POST /rpc HTTP/1.1\r\nhost: ${address}\r\n` +
        'content-type: application/json\r\n' +
        `content-length: ${Buffer.byteLength(body)}${HEAD_END}${body}`;
}

/** Opens a connection; rejects if connecting fails. */
export function openLoadConnection(
  address: string,
  protocol: Protocol,
): Promise<LoadConnection> {
  const parseAnswer = protocol === 'lines' ? parseLine : parseHttp;
  const socket = connect(parseAddress(address));
  let buffer = '';
  let pendingListener: ((body: string) => void) | undefined;

  function deliverAnswer(body: string): void {
    const listener = pendingListener;
    pendingListener = undefined;
    listener?.(body);
  }

  socket.setNoDelay(true);
  socket.setEncoding('latin1');
  socket.on('data', chunk => {
    buffer += String(chunk);
    const parsed = parseAnswer(buffer);
    if (parsed !== undefined) {
      buffer = parsed.rest;
      deliverAnswer(parsed.body);
    }
  });
  socket.on('close', () => deliverAnswer('{"error":"connection closed"}'));

  const connection: LoadConnection = {
    send(body, onAnswer) {
      pendingListener = onAnswer;
      socket.write(frameRequest(protocol, address, body));
    },
    close: () => socket.destroy(),
  };
  return new Promise((resolve, reject) => {
    socket.once('connect', () => resolve(connection));
    socket.on('error', reject);
  });
}
