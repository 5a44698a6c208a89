#!/usr/bin/env node
// Links are made at install, when nothing is built yet: this file is there from the start and loads what is built.
import '../dist/main.js'
