/** Group state, confirmation by majority, failure detection and promotion. */
export * from './src/confirmed_log';
export * from './src/electorate';
export * from './src/group_directory';
export * from './src/group_view';
export * from './src/managed_group_view';
export * from './src/member_status';
export * from './src/membership_change';
export * from './src/promotion_choice';
export * from './src/round_result';
export * from './src/terms';
export * from './src/timings';
export * from './src/watch_pace';
export type {LeadershipChange} from './src/watcher';
export type {PromotionCause, PromotionDurations} from './src/promotion';
