/** In-memory platform: table service, object store and instance list. */
import type {ListedInstance} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import {createHash} from 'node:crypto';

import {
  NO_PLATFORM_FAULTS,
  PlatformFaults,
  PlatformOperation,
} from './platform_faults';
import {TablesService, createTablesService} from './tables_service';

/** The platform without transport; calls take effect immediately. */
export interface Platform extends TablesService {
  /** Stores an object; false if the digest doesn't match the body. */
  putObject(digest: string, body: string): boolean;
  getObject(digest: string): string | undefined;
  /** Returns the instance list as of `listingLag` milliseconds ago. */
  listInstances(): readonly ListedInstance[];
  setInstances(instances: readonly ListedInstance[]): void;
  faults(): PlatformFaults;
  /** Changes faults; absent fields keep their value. */
  configure(change: Partial<PlatformFaults>): void;
  /** Counts a call; true if its answer is to be dropped. */
  recordCall(operation: PlatformOperation): boolean;
  /** Number of calls so far, by operation. */
  calls(): Readonly<Record<PlatformOperation, number>>;
}

interface InstanceListing {
  readonly since: Milliseconds;
  readonly instances: readonly ListedInstance[];
}

/** Digest of an object's body: SHA-256 in hexadecimal. */
export function digestOfObject(body: string): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Creates an empty platform without faults. */
export function createPlatform(timer: TimerService): Platform {
  const objects = new Map<string, string>();
  const listings: InstanceListing[] = [];
  const calls: Record<PlatformOperation, number> = {
    readRow: 0,
    writeRow: 0,
    listRows: 0,
    putObject: 0,
    getObject: 0,
    listInstances: 0,
  };
  let faults = NO_PLATFORM_FAULTS;

  function configure(change: Partial<PlatformFaults>): void {
    faults = {...faults, ...change};
  }

  function putObject(digest: string, body: string): boolean {
    if (digestOfObject(body) !== digest) {
      return false;
    }
    objects.set(digest, body);
    return true;
  }

  function listInstances(): readonly ListedInstance[] {
    const asOf = timer.now() - faults.listingLag;
    const listing = listings.filter(({since}) => since <= asOf).at(-1);
    return structuredClone(listing?.instances ?? []);
  }

  function setInstances(instances: readonly ListedInstance[]): void {
    listings.push({since: timer.now(), instances: structuredClone(instances)});
  }

  function recordCall(operation: PlatformOperation): boolean {
    calls[operation]++;
    const {loseAnswers} = faults;
    const isLost =
      loseAnswers.count > 0 &&
      (loseAnswers.operation ?? operation) === operation;
    if (isLost) {
      configure({loseAnswers: {...loseAnswers, count: loseAnswers.count - 1}});
    }
    return isLost;
  }

  return {
    ...createTablesService(),
    putObject,
    getObject: digest => objects.get(digest),
    listInstances,
    setInstances,
    faults: () => faults,
    configure,
    recordCall,
    calls: () => calls,
  };
}
