/** Interface of the platform services; tests use a fake implementation. */
import type {
  Failure,
  ListedInstance,
  ListedRow,
  TableRow,
} from '@kelpstep/protocol';
import type {Future} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

/** Settles with the result of a call or with its failure. */
export type PlatformReply<T> = Future<Result<T, Failure>>;

/**
 * The platform's table service, object store and instance list. Every call may
 * fail with `PLATFORM_UNAVAILABLE`; a write may have taken effect nevertheless.
 */
export interface PlatformClient {
  /** Reads a row; its version is 0 if it does not exist. */
  readRow(table: string, key: string): PlatformReply<TableRow>;
  /**
   * Writes a row if it has the expected version (0: the row does not exist) and
   * returns the new version; fails with `VERSION_CONFLICT` otherwise.
   */
  writeRow(
    table: string,
    key: string,
    expectedVersion: number,
    value: unknown,
  ): PlatformReply<number>;
  /**
   * Lists at most `limit` rows with keys greater than `after`, ordered by key.
   */
  listRows(
    table: string,
    after: string,
    limit: number,
  ): PlatformReply<ListedRow[]>;
  /** Stores an object under its digest; idempotent. */
  putObject(digest: string, body: string): PlatformReply<undefined>;
  /** Reads an object; fails with `OBJECT_MISSING` if it does not exist. */
  getObject(digest: string): PlatformReply<string>;
  /** Lists the instances; the list may be out of date. */
  listInstances(): PlatformReply<ListedInstance[]>;
}
