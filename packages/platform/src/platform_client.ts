/** What other parts use of the platform; tests pass a fake. */
import type {
  Failure,
  ListedInstance,
  ListedRow,
  TableRow,
} from '@kelpstep/protocol';
import type {Future} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

/** An answer of the platform. */
export type PlatformReply<T> = Future<Result<T, Failure>>;

/**
 * The platform's service. Every call may fail with `PLATFORM_UNAVAILABLE`;
 * then a write may nevertheless have taken effect.
 */
export interface PlatformClient {
  /** Reads a row; version 0 if there is none. */
  readRow(table: string, key: string): PlatformReply<TableRow>;
  /**
   * Writes a row if its version is still the expected one (0: no row yet),
   * else fails with `VERSION_CONFLICT`. Gives the new version.
   */
  writeRow(
    table: string,
    key: string,
    expectedVersion: number,
    value: unknown,
  ): PlatformReply<number>;
  /** Rows whose key is greater than `after`, by key, `limit` at most. */
  listRows(
    table: string,
    after: string,
    limit: number,
  ): PlatformReply<ListedRow[]>;
  /** Stores an object under its digest; storing it again changes nothing. */
  putObject(digest: string, body: string): PlatformReply<undefined>;
  /** Reads an object; `OBJECT_MISSING` if there is none. */
  getObject(digest: string): PlatformReply<string>;
  /** The lagging list of instances. */
  listInstances(): PlatformReply<ListedInstance[]>;
}
