# Compiler settings that hold for every target of ours.
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
  # GCC 12 reports overlaps in its own std::string at -O3 (GCC bug 105651), which only the deploy build has.
  $<$<BOOL:${MEDLARCROFT_DEPLOY}>:-Wno-restrict>)

# Links with lld where there is one: the tests link many times over.
find_program(LLD_PROGRAM ld.lld)
if(LLD_PROGRAM)
  add_link_options(-fuse-ld=lld)
endif()
