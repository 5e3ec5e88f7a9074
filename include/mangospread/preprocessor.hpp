/// @file
/// Version and compiler-dependent macros. No other file tests compiler macros.
#pragma once

#define MANGOSPREAD_VERSION_MAJOR 0
#define MANGOSPREAD_VERSION_MINOR 1
#define MANGOSPREAD_VERSION_PATCH 0

#ifndef MANGOSPREAD_LIKELY
#define MANGOSPREAD_LIKELY [[likely]]
#define MANGOSPREAD_UNLIKELY [[unlikely]]
#endif
