# Compiler settings for all targets of this project.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

add_library(medlarcroft_warnings INTERFACE)
target_compile_options(medlarcroft_warnings INTERFACE -Wall -Wextra -Wpedantic -Werror
  -Wno-missing-field-initializers
  # GCC 12 falsely reports overlapping copies inside std::string at -O3 (GCC bug 105651), which only the deploy
  # build uses.
  $<$<BOOL:${MEDLARCROFT_DEPLOY}>:-Wno-restrict>)

# Links with lld if available, because building the tests links many programs.
find_program(LLD_PROGRAM ld.lld)
if(LLD_PROGRAM)
  add_link_options(-fuse-ld=lld)
endif()
