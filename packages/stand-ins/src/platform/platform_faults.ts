/** Faults of the platform stand-in; all can change while it runs. */
import {z} from 'zod';

const milliseconds = z.number().nonnegative();

/** Operations, named as in `PlatformClient`. */
export const platformOperationSchema = z.enum([
  'readRow',
  'writeRow',
  'listRows',
  'putObject',
  'getObject',
  'listInstances',
]);
export type PlatformOperation = z.infer<typeof platformOperationSchema>;

/** Faults of the platform. */
export const platformFaultsSchema = z.strictObject({
  /** Time that each answer takes. */
  latency: milliseconds,
  /** Time that each answer takes besides. */
  slowness: milliseconds,
  /** `unavailable`: it says so; `silent`: it doesn't answer. */
  outage: z.enum(['none', 'unavailable', 'silent']),
  /** The next answers of an operation, or of any, are lost. */
  loseAnswers: z.strictObject({
    operation: platformOperationSchema.optional(),
    count: z.number().int().nonnegative(),
  }),
  /** Age of the list of instances. */
  listingLag: milliseconds,
});
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** No faults. */
export const NO_PLATFORM_FAULTS: PlatformFaults = {
  latency: 0,
  slowness: 0,
  outage: 'none',
  loseAnswers: {count: 0},
  listingLag: 0,
};
