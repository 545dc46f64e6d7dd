import {digestKey} from '@kelpstep/accounts';
import {
  callerBegin,
  callerCommit,
  callerRead,
  callerWrite,
} from '@kelpstep/protocol';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createDeployment, statement} from './deployment';

const KEY = 'a-key-of-the-office';
const append = statement('append ? ?', 'log', 'entry');
const count = statement('count ?', 'log');

/** A deployment with one account, whose key the callers need. */
function startDeployment() {
  const deployment = createDeployment();
  deployment.start();
  deployment.timer.advance(500);
  const keyDigests = [digestKey(Buffer.from(KEY))];
  const accounts = [{name: 'office', keyDigests}];
  deployment.setManifest({...deployment.manifest, accounts});
  return deployment;
}

describe('a caller of a deployment with accounts', () => {
  test('is served with the key of an account', () => {
    const {ask} = startDeployment();
    const read = {statement: count, accountKey: KEY};
    expect(ask(0, callerRead, read).rows).toEqual([[0]]);
  });

  test('is refused without a key or with an unknown key', () => {
    const {refuse, entries, primaryIndex} = startDeployment();
    const requests = [
      {statement: append},
      {statement: append, accountKey: ''},
      {statement: append, accountKey: 'another-key'},
      {statement: append, accountKey: '\u0000 with blanks \u00e4'},
    ];
    for (const request of requests) {
      const refusal = refuse(0, callerWrite, request);
      expect([request, refusal]).toEqual([request, 'UNKNOWN_ACCOUNT not_run']);
    }
    expect(entries(primaryIndex(), 'log')).toEqual([]);
  });

  test('is refused after its key was revoked, also in a transaction', () => {
    const {ask, refuse, setManifest, manifest} = startDeployment();
    const accountKey = KEY;
    const {transaction} = ask(0, callerBegin, {accountKey});
    ask(0, callerWrite, {statement: append, transaction, accountKey});
    setManifest({...manifest, accounts: [{name: 'office', keyDigests: []}]});
    expect(refuse(0, callerCommit, {transaction, accountKey})).toEqual(
      'UNKNOWN_ACCOUNT not_run',
    );
  });

  test('does not have its key forwarded to the owner of its transaction', () => {
    const {ask, recordMessages} = startDeployment();
    const accountKey = KEY;
    const {transaction} = ask(0, callerBegin, {accountKey});
    const sent = recordMessages();
    ask(1, callerWrite, {statement: append, transaction, accountKey});
    ask(1, callerCommit, {transaction, accountKey});
    const isForwarded = sent.some(text => text.includes('peer.forward'));
    const isKeyWithheld = !sent.some(text => text.includes(KEY));
    expect([isForwarded, isKeyWithheld]).toEqual([true, true]);
  });
});
