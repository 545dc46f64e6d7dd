/** Faults of the platform stand-in; all can change at run time. */
import {z} from 'zod';

const milliseconds = z.number().nonnegative();

/** Operations of the platform, named after the methods of `PlatformClient`. */
export const platformOperationSchema = z.enum([
  'readRow',
  'writeRow',
  'listRows',
  'putObject',
  'getObject',
  'listInstances',
]);
export type PlatformOperation = z.infer<typeof platformOperationSchema>;

/** Faults that a test can switch on in the platform. */
export const platformFaultsSchema = z.strictObject({
  /** Round-trip time of each call. */
  latency: milliseconds,
  /** Additional round-trip time, for a slow platform. */
  slowness: milliseconds,
  /** `unavailable`: calls fail; `silent`: calls get no answer. */
  outage: z.enum(['none', 'unavailable', 'silent']),
  /**
   * Drops the next `count` answers of an operation, or of any by default; the
   * calls take effect.
   */
  loseAnswers: z.strictObject({
    operation: platformOperationSchema.optional(),
    count: z.number().int().nonnegative(),
  }),
  /** Age of the returned list of instances. */
  listingLag: milliseconds,
});
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** All faults switched off. */
export const NO_PLATFORM_FAULTS: PlatformFaults = {
  latency: 0,
  slowness: 0,
  outage: 'none',
  loseAnswers: {count: 0},
  listingLag: 0,
};
