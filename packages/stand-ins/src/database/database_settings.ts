/** Settings and faults of the database stand-in; all can change at run time. */
import {defineMethod} from '@kelpstep/protocol';
import {z} from 'zod';

const milliseconds = z.number().nonnegative();
const count = z.number().int().nonnegative();

const settingsFields = {
  /** Maximum number of statements that run concurrently. */
  slots: count.min(1),
  /** Maximum number of statements that wait for a slot. */
  queueLimit: count,
  /** Maximum number of connections; replication connections don't count. */
  connectionLimit: count.min(1),
  /** Delay before a new connection serves its first request. */
  connectionSetup: milliseconds,
  /** Mean time for which a statement occupies its slot. */
  serviceTime: milliseconds,
  /** Relative variation of the service time, 0 to 1. */
  serviceJitter: z.number().min(0).max(1),
  /** Delay between receiving a record on a replica and applying it. */
  lag: milliseconds,
  /** Maximum time for which a primary holds a replica's request open. */
  replicationHeartbeat: milliseconds.min(1),
  /** Maximum age of an idempotency key; an older one is refused. */
  keyRetention: milliseconds,
  /** Maximum time by which a key may be issued ahead of this target's clock. */
  maximumClockSkew: milliseconds,
};

/** Settings of a database. Durations are in milliseconds. */
export const databaseSettingsSchema = z.strictObject(settingsFields);
export type DatabaseSettings = z.infer<typeof databaseSettingsSchema>;

/**
 * Settings of a database that is started without any; durations are in
 * milliseconds.
 */
export const DEFAULT_DATABASE_SETTINGS: DatabaseSettings = {
  slots: 3,
  queueLimit: 1000,
  connectionLimit: 20,
  connectionSetup: 0,
  serviceTime: 0,
  serviceJitter: 0,
  lag: 0,
  replicationHeartbeat: 100,
  keyRetention: 24 * 60 * 60 * 1000,
  maximumClockSkew: 60 * 1000,
};

const faultFields = {
  /** Closes new connections immediately. */
  refuseConnections: z.boolean(),
  /** Refuses statements with `SLOTS_EXHAUSTED`. */
  refuseStatements: z.boolean(),
  /** Drops the next `count` answers of a method; the calls take effect. */
  loseAnswers: z.strictObject({method: z.string(), count}),
};

/** Faults that a test can switch on in a database. */
export const databaseFaultsSchema = z.strictObject(faultFields);
export type DatabaseFaults = z.infer<typeof databaseFaultsSchema>;

/** All faults switched off. */
export const NO_DATABASE_FAULTS: DatabaseFaults = {
  refuseConnections: false,
  refuseStatements: false,
  loseAnswers: {method: '', count: 0},
};

/** A change of settings and faults; absent fields keep their value. */
export const databaseConfigurationSchema = z
  .strictObject({
    ...settingsFields,
    ...faultFields,
    /** Pauses the database immediately for this time. */
    freeze: milliseconds,
  })
  .partial();
export type DatabaseConfiguration = z.infer<typeof databaseConfigurationSchema>;

/** Changes settings and faults of a running stand-in. */
export const standInConfigure = defineMethod(
  'stand-in.configure',
  databaseConfigurationSchema,
  z.strictObject({}),
);
