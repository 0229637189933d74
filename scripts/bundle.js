// Bundles each binary of the platform into one file, so that a restart reads a single file and parses only the code that it uses.
import { build } from 'esbuild'

await build({
  entryPoints: { 'wisteria-gateway': 'platform/wisteria-gateway.ts', wisteriactl: 'platform/wisteriactl.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  logLevel: 'warning'
})
