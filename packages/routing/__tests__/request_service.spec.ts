import {callerRead, callerWrite} from '@kelpstep/protocol';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createDeployment, statement} from './deployment';

const append = statement('append ? ?', 'log', 'entry');
const list = statement('list ?', 'log');

describe('a session that roams between proxies', () => {
  test('reads its own write from a replica that has caught up', () => {
    const {start, ask} = createDeployment();
    start();
    const {token} = ask(0, callerWrite, {statement: append});
    const read = ask(1, callerRead, {statement: list, token});
    expect(read.rows).toEqual([['entry']]);
    expect(read.servedBy.role).toEqual('replica');
  });
});
