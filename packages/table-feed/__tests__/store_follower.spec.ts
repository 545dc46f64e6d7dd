import type {StoreFailure, TableChanges, TableStore} from '@kelpstep/platform';
import {
  type Future,
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Err, Ok, type Result} from 'ts-results';

import {IGNORED_FEED_EVENTS} from '..';
import {createStoreFollower} from '../src/store_follower';
import {createTableCopy} from '../src/table_copy';

const TABLE = 'configuration';
const REPLY_TIME_MS = 4;
const SECOND_MS = 1000;
const KNOWN_VERSION = 9;
const OLDER_VERSION = 5;

describe('a store follower whose store has lost the history', () => {
  test('does not confirm the copy by a read of an older state and polls rarely', () => {
    const timer = createVirtualTimer();
    let calls = 0;
    let completions = 0;
    let olderAnswers = 0;

    function reply(
      result: Result<TableChanges, StoreFailure>,
    ): Future<Result<TableChanges, StoreFailure>> {
      const deferred = createDeferred<Result<TableChanges, StoreFailure>>();
      calls += 1;
      timer.after(REPLY_TIME_MS, () => deferred.settle(result));
      return deferred.future;
    }

    const store: Pick<TableStore, 'readTable' | 'awaitChanges'> = {
      readTable: () => reply(Ok({rows: [], era: 0, version: OLDER_VERSION})),
      awaitChanges: () => reply(Err('history lost')),
    };
    const copy = createTableCopy({
      table: TABLE,
      stalenessBound: 3 * SECOND_MS,
      onRows: () => {},
    });
    copy.take({table: TABLE, era: 0, version: KNOWN_VERSION, rows: []});
    const follower = createStoreFollower({
      runtime: createRuntime({timer, random: createRandom(1)}),
      store: {...store, transact: () => createDeferred<never>().future},
      copy,
      wait: SECOND_MS,
      pause: 0,
      maximumRetryDelay: () => SECOND_MS,
      onComplete: () => {
        completions += 1;
      },
      events: {
        ...IGNORED_FEED_EVENTS,
        onOlderAnswer: () => {
          olderAnswers += 1;
        },
      },
    });
    follower.start();
    timer.advance(5 * SECOND_MS);
    follower.stop();
    expect({
      completions,
      version: copy.position()?.version,
      isReported: olderAnswers > 0,
      isSeldom: calls < 25,
    }).toEqual({
      completions: 0,
      version: KNOWN_VERSION,
      isReported: true,
      isSeldom: true,
    });
  });
});
