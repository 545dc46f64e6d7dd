/** Group state, majority confirmation, failure detection and promotion. */
export * from './src/candidate_selection';
export * from './src/confirmed_log';
export type {LeadershipChange} from './src/failure_detector';
export * from './src/group_directory';
export * from './src/group_view';
export * from './src/managed_group_view';
export * from './src/member_status';
export * from './src/membership_change';
export * from './src/probe_intervals';
export type {PromotionCause, PromotionDurations} from './src/promotion';
export * from './src/round_result';
export * from './src/terms';
export * from './src/timings';
export * from './src/voters';
