/** The platform's HTTP interface: its requests and what their answers mean. */
import {
  Failure,
  ListedInstance,
  ListedRow,
  TableRow,
  createFailure,
  listedInstanceSchema,
  listedRowSchema,
  tableRowSchema,
} from '@kelpstep/protocol';
import {Err, Ok, Result} from 'ts-results';
import {z} from 'zod';

import type {HttpOutcome, HttpRequest} from './http_exchange';
import {parseJson} from './parse_json';

const HTTP_OK_FIRST = 200;
const HTTP_OK_LAST = 299;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_SERVER_ERROR = 500;

const JSON_TYPE = 'application/json';
const TEXT_TYPE = 'text/plain; charset=utf-8';

const versionSchema = z.object({version: z.number().int().positive()});
const rowListSchema = z.object({rows: z.array(listedRowSchema)});
const instanceListSchema = z.object({instances: z.array(listedInstanceSchema)});

/** A request and what its answers mean. */
export interface PlatformCall<T> {
  readonly request: HttpRequest;
  /**
   * True if sending it again changes nothing; then another address is tried
   * even after a request that may have had its effect.
   */
  readonly idempotent: boolean;
  /** True if the request changes nothing at all. */
  readonly readOnly: boolean;
  /** Failures that certain status codes stand for. */
  readonly refusals: Readonly<Record<number, Failure>>;
  parse(body: string): Result<T, string>;
}

/** An outage; `mayHaveRun` if the request may have had its effect. */
export function unavailable(message: string, mayHaveRun: boolean): Failure {
  const outcome = mayHaveRun ? 'unknown' : 'not_run';
  return createFailure('PLATFORM_UNAVAILABLE', {message, outcome});
}

/** A refusal for a fault of the request itself: it had no effect. */
function isRefusal(status: number): boolean {
  return status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR;
}

/** Reads an answer, or the lack of one. */
export function readOutcome<T>(
  call: PlatformCall<T>,
  outcome: HttpOutcome,
): Result<T, Failure> {
  if (outcome.kind === 'failed') {
    const mayHaveRun = outcome.sent && !call.readOnly;
    return Err(unavailable(outcome.message, mayHaveRun));
  }
  const {status, body} = outcome;
  const refusal = call.refusals[status];
  if (refusal !== undefined) {
    return Err(refusal);
  }
  if (status < HTTP_OK_FIRST || status > HTTP_OK_LAST) {
    const mayHaveRun = !call.readOnly && !isRefusal(status);
    return Err(unavailable(`The platform answered ${status}.`, mayHaveRun));
  }
  return call
    .parse(body)
    .mapErr(message =>
      unavailable(`Odd answer of the platform: ${message}`, !call.readOnly),
    );
}

function rowPath(table: string, key: string): string {
  return `/tables/${encodeURIComponent(table)}/rows/${encodeURIComponent(key)}`;
}

/** The calls of the platform's interface. */
export const PLATFORM_CALLS = {
  readRow: (table: string, key: string): PlatformCall<TableRow> => ({
    request: {method: 'GET', path: rowPath(table, key)},
    idempotent: true,
    readOnly: true,
    refusals: {},
    parse: parseJson(tableRowSchema),
  }),
  writeRow: (
    table: string,
    key: string,
    expectedVersion: number,
    value: unknown,
  ): PlatformCall<number> => ({
    request: {
      method: 'PUT',
      path: rowPath(table, key),
      body: JSON.stringify({expectedVersion, value}),
      contentType: JSON_TYPE,
    },
    idempotent: false,
    readOnly: false,
    refusals: {[HTTP_CONFLICT]: createFailure('VERSION_CONFLICT')},
    parse: (body: string) =>
      parseJson(versionSchema)(body).map(({version}) => version),
  }),
  listRows: (
    table: string,
    after: string,
    limit: number,
  ): PlatformCall<ListedRow[]> => ({
    request: {
      method: 'GET',
      path:
        `/tables/${encodeURIComponent(table)}/rows` +
        `?after=${encodeURIComponent(after)}&limit=${limit}`,
    },
    idempotent: true,
    readOnly: true,
    refusals: {},
    parse: (body: string) =>
      parseJson(rowListSchema)(body).map(({rows}) => rows),
  }),
  putObject: (digest: string, body: string): PlatformCall<undefined> => ({
    request: {
      method: 'PUT',
      path: `/objects/${encodeURIComponent(digest)}`,
      body,
      contentType: TEXT_TYPE,
    },
    idempotent: true,
    readOnly: false,
    refusals: {},
    parse: () => Ok(undefined),
  }),
  getObject: (digest: string): PlatformCall<string> => ({
    request: {method: 'GET', path: `/objects/${encodeURIComponent(digest)}`},
    idempotent: true,
    readOnly: true,
    refusals: {[HTTP_NOT_FOUND]: createFailure('OBJECT_MISSING')},
    parse: (body: string) => Ok(body),
  }),
  listInstances: (): PlatformCall<ListedInstance[]> => ({
    request: {method: 'GET', path: '/instances'},
    idempotent: true,
    readOnly: true,
    refusals: {},
    parse: (body: string) =>
      parseJson(instanceListSchema)(body).map(({instances}) => instances),
  }),
} as const;
