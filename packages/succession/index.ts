/** Changes of primary in groups that the platform promotes in. */
export * from './src/choose_successor';
export * from './src/succession_monitor';
export * from './src/succession_row';
export type {ChangeOutcome} from './src/succession_steps';
