/** Changes the primary of groups whose targets the platform promotes. */
export * from './src/choice_context';
export * from './src/choice_report';
export * from './src/choose_successor';
export {type CommitEvidence, evidenceOfGroup} from './src/commit_inquiry';
export {type CopyRecords, createCopyRecords} from './src/copy_record';
export {startCopyRecorder} from './src/copy_recorder';
export * from './src/succession_monitor';
export * from './src/succession_records';
export * from './src/succession_row';
export * from './src/split_group';
export type {SuccessionOutcome} from './src/succession_steps';
