/** The platform in memory: table service, object store, instance list. */
import type {ListedInstance} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import {createHash} from 'node:crypto';

import {
  NO_PLATFORM_FAULTS,
  PlatformFaults,
  PlatformOperation,
} from './platform_faults';
import {TablesService, createTablesService} from './tables_service';

/** The platform behind its interfaces; calls take effect at once. */
export interface Platform extends TablesService {
  /** Stores an object; false if the digest is another's. */
  putObject(digest: string, body: string): boolean;
  getObject(digest: string): string | undefined;
  /** The list as it was the listing's lag ago. */
  listInstances(): readonly ListedInstance[];
  setInstances(instances: readonly ListedInstance[]): void;
  faults(): PlatformFaults;
  /** Changes faults; what is absent stays. */
  configure(change: Partial<PlatformFaults>): void;
  /** Counts a call; true if its answer is to be lost. */
  recordCall(operation: PlatformOperation): boolean;
  /** Calls so far by operation. */
  calls(): Readonly<Record<PlatformOperation, number>>;
}

interface Listing {
  readonly since: Milliseconds;
  readonly instances: readonly ListedInstance[];
}

/** Digest of an object's body: SHA-256, hexadecimal. */
export function digestOfObject(body: string): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Creates an empty platform without faults. */
export function createPlatform(timer: TimerService): Platform {
  const objects = new Map<string, string>();
  const listings: Listing[] = [];
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
