/** Routes of the platform's HTTP interface. */
import {listedInstanceSchema} from '@kelpstep/protocol';
import {z} from 'zod';

import type {Platform} from './platform';
import {PlatformOperation, platformFaultsSchema} from './platform_faults';

/** A complete HTTP request. */
export interface PlatformRequest {
  readonly method: string;
  /** Decoded path segments. */
  readonly segments: readonly string[];
  readonly query: URLSearchParams;
  readonly body: string;
}

/** An HTTP response with a JSON body, a text body or no body. */
export interface PlatformAnswer {
  readonly status: number;
  readonly json?: unknown;
  readonly text?: string;
}

/** The handler of one request, with the operation that it counts as. */
export interface PlatformRoute {
  /** `undefined` for a test-only route, which faults don't affect. */
  readonly operation: PlatformOperation | undefined;
  readonly run: () => PlatformAnswer;
}

const DEFAULT_LIST_LIMIT = 1000;
const NO_CONTENT: PlatformAnswer = {status: 204};

const writeRowSchema = z.strictObject({
  expectedVersion: z.number().int().nonnegative(),
  value: z.unknown(),
});

const instanceListSchema = z.strictObject({
  instances: z.array(listedInstanceSchema),
});

/** Creates a response whose JSON body is `{error}`. */
export function errorAnswer(status: number, error: string): PlatformAnswer {
  return {status, json: {error}};
}

/** Validates the body and calls `run` with it; an invalid body gives 400. */
function withParsedBody<T>(
  body: string,
  schema: z.ZodType<T>,
  run: (value: T) => PlatformAnswer,
): PlatformAnswer {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    return errorAnswer(400, 'The body is not JSON.');
  }
  const parsed = schema.safeParse(value);
  return parsed.success
    ? run(parsed.data)
    : errorAnswer(400, z.prettifyError(parsed.error));
}

function rowRoute(
  platform: Platform,
  request: PlatformRequest,
  table: string,
  key: string,
): PlatformRoute | undefined {
  if (request.method === 'GET') {
    return {
      operation: 'readRow',
      run: () => ({status: 200, json: platform.readRow(table, key)}),
    };
  }
  if (request.method !== 'PUT') {
    return undefined;
  }
  return {
    operation: 'writeRow',
    run: () =>
      withParsedBody(
        request.body,
        writeRowSchema,
        ({expectedVersion, value}) => {
          const written = platform.writeRow(table, key, expectedVersion, value);
          const status = written.ok ? 200 : 409;
          return {status, json: {version: written.val}};
        },
      ),
  };
}

function listRoute(
  platform: Platform,
  request: PlatformRequest,
  table: string,
): PlatformRoute | undefined {
  if (request.method !== 'GET') {
    return undefined;
  }
  const after = request.query.get('after') ?? '';
  const limit = Number(request.query.get('limit') ?? DEFAULT_LIST_LIMIT);
  return {
    operation: 'listRows',
    run: () =>
      Number.isInteger(limit) && limit > 0
        ? {status: 200, json: {rows: platform.listRows(table, after, limit)}}
        : errorAnswer(400, 'The limit is not a positive whole number.'),
  };
}

function objectRoute(
  platform: Platform,
  request: PlatformRequest,
  digest: string,
): PlatformRoute | undefined {
  if (request.method === 'GET') {
    return {
      operation: 'getObject',
      run() {
        const text = platform.getObject(digest);
        return text === undefined
          ? errorAnswer(404, 'No such object.')
          : {status: 200, text};
      },
    };
  }
  if (request.method !== 'PUT') {
    return undefined;
  }
  return {
    operation: 'putObject',
    run: () =>
      platform.putObject(digest, request.body)
        ? NO_CONTENT
        : errorAnswer(400, 'The digest is not the SHA-256 of the body.'),
  };
}

function instancesRoute(
  platform: Platform,
  request: PlatformRequest,
): PlatformRoute | undefined {
  if (request.method === 'GET') {
    return {
      operation: 'listInstances',
      run: () => ({status: 200, json: {instances: platform.listInstances()}}),
    };
  }
  if (request.method !== 'POST') {
    return undefined;
  }
  return {
    operation: undefined,
    run: () =>
      withParsedBody(request.body, instanceListSchema, ({instances}) => {
        platform.setInstances(instances);
        return NO_CONTENT;
      }),
  };
}

function faultsRoute(
  platform: Platform,
  request: PlatformRequest,
): PlatformRoute | undefined {
  if (request.method !== 'POST') {
    return undefined;
  }
  return {
    operation: undefined,
    run: () =>
      withParsedBody(request.body, platformFaultsSchema.partial(), change => {
        platform.configure(change);
        return NO_CONTENT;
      }),
  };
}

/** Returns the route of a request; `undefined` if no route matches. */
export function findRoute(
  platform: Platform,
  request: PlatformRequest,
): PlatformRoute | undefined {
  const [first, second, third, fourth, ...rest] = request.segments;
  if (rest.length > 0) {
    return undefined;
  }
  if (first === 'tables' && second !== undefined && third === 'rows') {
    return fourth === undefined
      ? listRoute(platform, request, second)
      : rowRoute(platform, request, second, fourth);
  }
  if (first === 'objects' && second !== undefined && third === undefined) {
    return objectRoute(platform, request, second);
  }
  if (second !== undefined) {
    return undefined;
  }
  if (first === 'instances') {
    return instancesRoute(platform, request);
  }
  return first === 'faults' ? faultsRoute(platform, request) : undefined;
}
