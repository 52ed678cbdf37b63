package main

import "C" // Links the program with the system's C library.
