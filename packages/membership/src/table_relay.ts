/**
 * Hands the store's tables on between proxies. While the store doesn't answer a
 * proxy, it asks others for what they know; the version tells whose is newer. So
 * a proxy that the store refuses, or that starts meanwhile, gets configuration,
 * targets and successions through whoever is served.
 */
import type {TableChanges, TableFollower} from '@kelpstep/platform';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  type TaskHandle,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {z} from 'zod';

const rowSchema = z.object({
  key: z.string(),
  value: z.unknown(),
  version: z.number(),
  isRemoved: z.literal(false),
});

/** A proxy's tables as it hands them on. */
export const relayedTablesSchema = z.array(
  z.object({
    table: z.string(),
    version: z.number(),
    rows: z.array(rowSchema),
  }),
);
export type RelayedTables = z.infer<typeof relayedTablesSchema>;

/** Asks a proxy for its tables; undefined if it gives no usable answer. */
export type AskForTables = (
  address: string,
) => Future<RelayedTables | undefined>;

/** What a relay is made of. */
export interface TableRelayOptions {
  readonly runtime: Runtime;
  /** The followed tables by name. */
  readonly followers: ReadonlyMap<string, TableFollower>;
  /** Addresses of other proxies, as far as they are known. */
  peers(): readonly string[];
  readonly ask: AskForTables;
  /** A newer table was taken from a peer. */
  onTaken(table: string, peer: string, version: number): void;
}

/** Hands tables on, both ways. */
export interface TableRelay {
  /** What this proxy hands on. */
  tables(): RelayedTables;
  stop(): void;
}

/**
 * Pause between questions while a feed is lost. Short against the three seconds
 * in which a configuration is to be in force; nothing is asked otherwise.
 */
const ASK_PERIOD: Milliseconds = 300;
const PERIOD_JITTER = 0.3;

/** Starts to ask peers whenever a feed is lost. */
export function startTableRelay(options: TableRelayOptions): TableRelay {
  const {runtime, followers} = options;
  const {random} = runtime;

  function tables(): RelayedTables {
    return [...followers].flatMap(([table, follower]) => {
      const known = follower.known();
      return known === undefined
        ? []
        : [{table, version: known.version, rows: usable(known)}];
    });
  }

  function usable({rows}: TableChanges): RelayedTables[number]['rows'] {
    return rows.map(({key, value, version}) => ({
      key,
      value,
      version,
      isRemoved: false,
    }));
  }

  function take(relayed: RelayedTables, peer: string): void {
    for (const {table, version, rows} of relayed) {
      if (followers.get(table)?.offer({rows, version})) {
        options.onTaken(table, peer, version);
      }
    }
  }

  function isCutOff(): boolean {
    return [...followers.values()].some(follower => !follower.isFollowing());
  }

  function* relay(): Task<void> {
    for (;;) {
      yield* sleep(random.jitter(ASK_PERIOD, PERIOD_JITTER));
      const peers = options.peers();
      if (peers.length === 0 || !isCutOff()) {
        continue;
      }
      const peer = random.pick(peers);
      const relayed = yield* waitFor(options.ask(peer));
      if (relayed !== undefined) {
        take(relayed, peer);
      }
    }
  }

  const task: TaskHandle<void> = runtime.spawn('relay tables', relay());
  return {tables, stop: task.cancel};
}
