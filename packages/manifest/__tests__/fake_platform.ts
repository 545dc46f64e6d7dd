/** An in-memory platform for specs, with faults between it and its client. */
import type {PlatformClient} from '@kelpstep/platform';
import {Failure, createFailure} from '@kelpstep/protocol';
import {
  Future,
  Milliseconds,
  Runtime,
  createDeferred,
  delay,
  perform,
} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

/**
 * What happens to a call. `request-lost`: it has no effect. `answer-lost`: it
 * takes effect, but the answer is lost. `late`: it takes effect after the
 * caller timed out. `refused`: it is not sent.
 */
export type Fault =
  'none' | 'request-lost' | 'answer-lost' | 'late' | 'refused';

export interface FakePlatformOptions {
  readonly runtime: Runtime;
  readonly fault?: (call: string) => Fault;
  readonly latency?: Milliseconds;
  readonly timeout?: Milliseconds;
  readonly lateness?: Milliseconds;
}

interface StoredRow {
  readonly version: number;
  readonly value: unknown;
}

export function createFakePlatform(options: FakePlatformOptions) {
  const {runtime, fault = () => 'none'} = options;
  const {latency = 5, timeout = 300, lateness = 2000} = options;
  const rows = new Map<string, StoredRow>();
  const objects = new Map<string, string>();
  /** All row values that were written, in order. */
  const written: StoredRow[] = [];
  const calls: string[] = [];

  function respond<T>(
    call: string,
    act: () => Result<T, Failure>,
  ): Future<Result<T, Failure>> {
    calls.push(call);
    const kind = fault(call);
    const reply = createDeferred<Result<T, Failure>>();
    const outcome = kind === 'refused' ? 'not_run' : 'unknown';
    const out = Err(createFailure('PLATFORM_UNAVAILABLE', {outcome}));
    if (kind === 'refused') {
      runtime.timer.after(latency, () => reply.settle(out));
      return reply.future;
    }
    runtime.timer.after(timeout, () => reply.settle(out));
    if (kind !== 'request-lost') {
      const arrival = kind === 'late' ? lateness : latency;
      runtime.timer.after(arrival, () => {
        const result = act();
        if (kind === 'none') {
          runtime.timer.after(latency, () => reply.settle(result));
        }
      });
    }
    return reply.future;
  }

  function readRow(table: string, key: string): StoredRow {
    return rows.get(`${table}/${key}`) ?? {version: 0, value: null};
  }

  function writeRow(
    table: string,
    key: string,
    expectedVersion: number,
    value: unknown,
  ): Result<number, Failure> {
    const {version} = readRow(table, key);
    if (version !== expectedVersion) {
      return Err(createFailure('VERSION_CONFLICT'));
    }
    const row = {version: version + 1, value};
    rows.set(`${table}/${key}`, row);
    written.push(row);
    return Ok(row.version);
  }

  const client: PlatformClient = {
    readRow: (table, key) => respond('readRow', () => Ok(readRow(table, key))),
    writeRow: (table, key, expectedVersion, value) =>
      respond('writeRow', () => writeRow(table, key, expectedVersion, value)),
    listRows: () => respond('listRows', () => Ok([])),
    putObject: (digest, body) =>
      respond('putObject', () => {
        objects.set(digest, body);
        return Ok(undefined);
      }),
    getObject: digest =>
      respond('getObject', () => {
        const body = objects.get(digest);
        return body === undefined
          ? Err(createFailure('OBJECT_MISSING'))
          : Ok(body);
      }),
    listInstances: () => respond('listInstances', () => Ok([])),
  };
  return {client, written, calls, objects};
}

/** Returns a future that settles after the duration. */
export function delayed(
  runtime: Runtime,
  duration: Milliseconds,
): Future<void> {
  return runtime.spawn(
    'delay',
    (function* () {
      yield* perform(delay(duration));
    })(),
  ).result;
}
