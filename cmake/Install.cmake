# `cmake --install build --prefix DIR` installs the programs, the library with its CMake package, the systemd
# units, the samples and the documentation below DIR.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

set(medlarcroft_package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/medlarcroft)

foreach(program medlar-node medlar-steerd medlar-entryd medlarctl medlar-load medlar-emulate)
  if(TARGET ${program})
    install(TARGETS ${program} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endforeach()

# Installs the core library only: applications that embed it provide their own I/O.
install(TARGETS medlarcroft EXPORT medlarcroftTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY ${PROJECT_SOURCE_DIR}/lib/libmedlarcroft/include/medlarcroft
  DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} FILES_MATCHING PATTERN "*.h")
install(EXPORT medlarcroftTargets NAMESPACE medlarcroft:: DESTINATION ${medlarcroft_package_dir})
configure_package_config_file(${CMAKE_CURRENT_LIST_DIR}/medlarcroftConfig.cmake.in
  ${PROJECT_BINARY_DIR}/medlarcroftConfig.cmake INSTALL_DESTINATION ${medlarcroft_package_dir})
write_basic_package_version_file(${PROJECT_BINARY_DIR}/medlarcroftConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/medlarcroftConfig.cmake ${PROJECT_BINARY_DIR}/medlarcroftConfigVersion.cmake
  DESTINATION ${medlarcroft_package_dir})

install(DIRECTORY ${PROJECT_SOURCE_DIR}/dist/systemd/ DESTINATION lib/systemd/system
  FILES_MATCHING PATTERN "*.service")
install(DIRECTORY ${PROJECT_SOURCE_DIR}/dist/samples ${PROJECT_SOURCE_DIR}/dist/deployments
  ${PROJECT_SOURCE_DIR}/dist/load DESTINATION ${CMAKE_INSTALL_DATADIR}/medlarcroft)
install(DIRECTORY ${PROJECT_SOURCE_DIR}/docs/ DESTINATION ${CMAKE_INSTALL_DOCDIR}
  FILES_MATCHING PATTERN "*.md")
install(FILES ${PROJECT_SOURCE_DIR}/LICENSE ${PROJECT_SOURCE_DIR}/README.md DESTINATION ${CMAKE_INSTALL_DOCDIR})
