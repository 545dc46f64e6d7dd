import {describeFaultRuns} from './describe_fault_runs';

describeFaultRuns(751, 250);
