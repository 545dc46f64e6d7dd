/** Settings of the database stand-in; all can change while it runs. */
import {defineMethod} from '@kelpstep/protocol';
import {z} from 'zod';

const milliseconds = z.number().nonnegative();
const count = z.number().int().nonnegative();

const settingsFields = {
  /** Statements that run at a time. */
  slots: count.min(1),
  /** Statements that may wait for a slot. */
  queueLimit: count,
  /** Connections accepted, replication not counted. */
  connectionLimit: count.min(1),
  /** Time until a new connection serves its first request. */
  connectionSetup: milliseconds,
  /** How long a statement keeps its slot. */
  serviceTime: milliseconds,
  /** Share by which the service time varies, 0 to 1. */
  serviceJitter: z.number().min(0).max(1),
  /** How long a replica holds a record back before it is in its log. */
  lag: milliseconds,
  /** Longest time for which a primary holds a replica's request. */
  replicationHeartbeat: milliseconds.min(1),
  /** Age of a key beyond which it is refused. */
  keyRetention: milliseconds,
  /** How far ahead of this target's wall clock a key may be issued. */
  maximumClockSkew: milliseconds,
};

/** Settings of a database. Durations are in milliseconds. */
export const databaseSettingsSchema = z.strictObject(settingsFields);
export type DatabaseSettings = z.infer<typeof databaseSettingsSchema>;

/** Settings that hold unless others are given. */
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
  /** Closes new connections at once. */
  refuseConnections: z.boolean(),
  /** Refuses statements with `SLOTS_EXHAUSTED`. */
  refuseStatements: z.boolean(),
  /** The next answers of a method are lost after the effect. */
  loseAnswers: z.strictObject({method: z.string(), count}),
};

/** Faults of a database. */
export const databaseFaultsSchema = z.strictObject(faultFields);
export type DatabaseFaults = z.infer<typeof databaseFaultsSchema>;

/** No faults. */
export const NO_DATABASE_FAULTS: DatabaseFaults = {
  refuseConnections: false,
  refuseStatements: false,
  loseAnswers: {method: '', count: 0},
};

/** A change of settings and faults; what is absent stays. */
export const databaseConfigurationSchema = z
  .strictObject({
    ...settingsFields,
    ...faultFields,
    /** Pauses the database for this long, from now on. */
    freeze: milliseconds,
  })
  .partial();
export type DatabaseConfiguration = z.infer<typeof databaseConfigurationSchema>;

/** Changes settings and faults of a stand-in that runs. */
export const standInConfigure = defineMethod(
  'stand-in.configure',
  databaseConfigurationSchema,
  z.strictObject({}),
);
