import { replay, toLoad, getServedShare } from './AdmissionReplay.js'
const targets = Array.from({ length: 34 }, (_, at) => `t${at}`)
// 34 targets * 6 places / 0.3 s = 680/s
const CAP = 680
for (const factor of [0.5, 0.9, 1.5, 2, 4, 7]) {
  const mk = (from: number, to: number, ps: number) => [0,1,2].flatMap(priority => [true,false].flatMap(isInProgress => toLoad(from, to, ps/6, {priority, isInProgress, maxWaitMs: isInProgress ? 2000 : 800}))).map(x => ({ ...x, at: x.at + Math.random() * 100 }))
  const load = [...mk(0, 3000, CAP * 0.5), ...mk(3000, 8000, CAP*factor)]
  const r = replay(load, { targets, places: 6, serviceMs: 300, gateways: 23 })
  const burst = r.filter(x => x.at >= 3000)
  console.log(factor, 'served', burst.filter(x=>x.type==='served').length, 'of', burst.length, 'cap', CAP*5, 'sends', burst.reduce((s,x)=>s+x.sends,0), 'maxw', Math.max(...r.map(x=>x.waitedMs)), 'waited', r.filter(x => x.waitedMs>0).length, 'refusedwait', burst.filter(x=>x.type==='refused').reduce((s,x)=>s+x.waitedMs,0)/Math.max(1,burst.filter(x=>x.type==='refused').length))
  for (const p of [0,1,2]) console.log('  p', p, [true,false].map(i => getServedShare(burst, x => x.priority===p && x.isInProgress===i).toFixed(2)))
}
