/** Runs databases and the platform in this process, on loopback. */
import type {ListedInstance} from '@kelpstep/protocol';
import {
  createRandom,
  createRealTimer,
  createRuntime,
  promiseFromFuture,
} from '@kelpstep/runtime';
import {Address, createTcpTransport} from '@kelpstep/rpc';
import {randomInt, randomUUID} from 'node:crypto';

import {Database, createDatabase} from './database/database';
import type {DatabaseSettings} from './database/database_settings';
import {PlatformServer, startPlatformServer} from './platform/platform_server';

/** Id, address and settings of one database. */
export interface EmbeddedMember {
  /** Member id, as in the manifest. */
  readonly id: string;
  /** Listen address; a free port on 127.0.0.1 by default. */
  readonly address?: Address;
  /** Settings that override the defaults. */
  readonly settings?: Partial<DatabaseSettings>;
}

/**
 * Databases and platform to start; their addresses are free ports by default.
 */
export interface EmbeddedStandInsOptions {
  readonly members: readonly EmbeddedMember[];
  /** Settings of all databases; those of a member take precedence. */
  readonly settings?: Partial<DatabaseSettings>;
  /** Listen address of the platform; a free port on 127.0.0.1 by default. */
  readonly platformAddress?: Address;
  /** Instance list of the platform; empty by default. */
  readonly instances?: readonly ListedInstance[];
}

/** A running database with its address. */
export interface EmbeddedDatabase extends Database {
  readonly id: string;
  readonly address: Address;
}

/** Running databases and platform. */
export interface EmbeddedStandIns {
  readonly platform: PlatformServer;
  /** Databases in the order of the members. */
  readonly databases: readonly EmbeddedDatabase[];
  stop(): Promise<void>;
}

const ANY_PORT: Address = '127.0.0.1:0';
const MAXIMUM_SEED = 0x7fffffff;

/** Starts a database on TCP and real time; rejects if it can't listen. */
export async function startDatabase(
  member: EmbeddedMember,
): Promise<EmbeddedDatabase> {
  const random = createRandom(randomInt(MAXIMUM_SEED));
  const database = createDatabase({
    runtime: createRuntime({timer: createRealTimer(), random}),
    transport: createTcpTransport(),
    target: member.id,
    address: member.address ?? ANY_PORT,
    incarnation: randomUUID(),
    settings: member.settings,
    defer: setImmediate,
  });
  const listening = await promiseFromFuture(database.listening);
  if (listening.err) {
    throw new Error(`${member.id}: ${listening.val.message}`);
  }
  return {...database, id: member.id, address: listening.val};
}

/** Starts the platform and the databases; rejects if one can't listen. */
export async function startEmbeddedStandIns(
  options: EmbeddedStandInsOptions,
): Promise<EmbeddedStandIns> {
  const platform = await startPlatformServer({
    address: options.platformAddress ?? ANY_PORT,
  });
  platform.platform.setInstances(options.instances ?? []);
  const databases: EmbeddedDatabase[] = [];

  async function stop(): Promise<void> {
    databases.forEach(database => database.stop());
    await platform.stop();
  }

  try {
    for (const member of options.members) {
      const settings = {...options.settings, ...member.settings};
      databases.push(await startDatabase({...member, settings}));
    }
  } catch (error) {
    await stop();
    throw error;
  }
  return {platform, databases, stop};
}
