/**
 * Relative worth of an operation of a priority, 0 being the highest: the second
 * is worth half of the first, the third a third of it.
 */
export function worthOfPriority(priority: number): number {
  return 1 / (1 + priority);
}
