/** The platform's HTTP API: its requests and how responses are interpreted. */
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
import {createJsonParser} from './json_parser';

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

/** A request and how its responses are interpreted. */
export interface PlatformCall<T> {
  readonly request: HttpRequest;
  /**
   * True if repeating the request has no further effect. It is then sent to
   * another address even if it may have taken effect already.
   */
  readonly idempotent: boolean;
  /** True if the request never changes state. */
  readonly readOnly: boolean;
  /** Failures by HTTP status code. */
  readonly failuresByStatus: Readonly<Record<number, Failure>>;
  parse(body: string): Result<T, string>;
}

/**
 * Creates the failure of a call without a usable response. Its outcome is
 * `unknown` if the request may have taken effect, else `not_run`.
 */
export function createUnavailableFailure(
  message: string,
  mayHaveRun: boolean,
): Failure {
  const outcome = mayHaveRun ? 'unknown' : 'not_run';
  return createFailure('PLATFORM_UNAVAILABLE', {message, outcome});
}

/**
 * Returns whether a status is 4xx: the request was rejected and had no effect.
 */
function isClientError(status: number): boolean {
  return status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR;
}

/** Converts an HTTP outcome into the result of a call. */
export function readOutcome<T>(
  call: PlatformCall<T>,
  outcome: HttpOutcome,
): Result<T, Failure> {
  if (outcome.kind === 'failed') {
    const mayHaveRun = outcome.sent && !call.readOnly;
    return Err(createUnavailableFailure(outcome.message, mayHaveRun));
  }
  const {status, body} = outcome;
  const namedFailure = call.failuresByStatus[status];
  if (namedFailure !== undefined) {
    return Err(namedFailure);
  }
  if (status < HTTP_OK_FIRST || status > HTTP_OK_LAST) {
    const mayHaveRun = !call.readOnly && !isClientError(status);
    return Err(
      createUnavailableFailure(`The platform answered ${status}.`, mayHaveRun),
    );
  }
  return call
    .parse(body)
    .mapErr(message =>
      createUnavailableFailure(
        `Odd answer of the platform: ${message}`,
        !call.readOnly,
      ),
    );
}

function rowPath(table: string, key: string): string {
  return `/tables/${encodeURIComponent(table)}/rows/${encodeURIComponent(key)}`;
}

/** Builders of the requests of the platform's HTTP API, one per operation. */
export const PLATFORM_CALLS = {
  readRow: (table: string, key: string): PlatformCall<TableRow> => ({
    request: {method: 'GET', path: rowPath(table, key)},
    idempotent: true,
    readOnly: true,
    failuresByStatus: {},
    parse: createJsonParser(tableRowSchema),
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
    failuresByStatus: {[HTTP_CONFLICT]: createFailure('VERSION_CONFLICT')},
    parse: (body: string) =>
      createJsonParser(versionSchema)(body).map(({version}) => version),
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
    failuresByStatus: {},
    parse: (body: string) =>
      createJsonParser(rowListSchema)(body).map(({rows}) => rows),
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
    failuresByStatus: {},
    parse: () => Ok(undefined),
  }),
  getObject: (digest: string): PlatformCall<string> => ({
    request: {method: 'GET', path: `/objects/${encodeURIComponent(digest)}`},
    idempotent: true,
    readOnly: true,
    failuresByStatus: {[HTTP_NOT_FOUND]: createFailure('OBJECT_MISSING')},
    parse: (body: string) => Ok(body),
  }),
  listInstances: (): PlatformCall<ListedInstance[]> => ({
    request: {method: 'GET', path: '/instances'},
    idempotent: true,
    readOnly: true,
    failuresByStatus: {},
    parse: (body: string) =>
      createJsonParser(instanceListSchema)(body).map(
        ({instances}) => instances,
      ),
  }),
} as const;
