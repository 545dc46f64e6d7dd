import {describeFaultRuns} from './describe_fault_runs';

describeFaultRuns(1251, 250);
