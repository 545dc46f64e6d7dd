/**
 * Public interface of the package: accounts by name or key, and their quotas.
 */
export * from './src/account_directory';
export type {QuotaPeer} from './src/choose_coordinators';
export * from './src/create_quota';
export * from './src/key_digest';
export type {QuotaOutcome} from './src/quota_coordinator';
export {type QuotaTolerance, createStartAllowance} from './src/start_allowance';
export type {QuotaAnswer, VersionedLimit} from './src/quota_messages';
