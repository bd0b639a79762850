# Headers, libraries, the two programs, a CMake package and pkg-config files.
include(CMakePackageConfigHelpers)

set(CORNELLOOM_LIBRARIES kernel decide coord config rollout transport targets client cli daemon)

# cornelloom_pkg_config(<library> LIBS <libraries of cornelloom, users first> REQUIRES <modules>)
function(cornelloom_pkg_config library)
    cmake_parse_arguments(arg "" "" "LIBS;REQUIRES" ${ARGN})
    set(pc_name "cornelloom-${library}")
    list(TRANSFORM arg_LIBS PREPEND "-lcornelloom_")
    list(JOIN arg_LIBS " " pc_libs)
    list(JOIN arg_REQUIRES " " pc_requires)
    # Relative to the file itself, so that the installed tree can be moved.
    file(RELATIVE_PATH pc_up "/prefix/${CMAKE_INSTALL_LIBDIR}/pkgconfig" "/prefix")
    configure_file("${PROJECT_SOURCE_DIR}/cmake/cornelloom.pc.in"
                   "${PROJECT_BINARY_DIR}/${pc_name}.pc" @ONLY)
    install(FILES "${PROJECT_BINARY_DIR}/${pc_name}.pc"
            DESTINATION "${CMAKE_INSTALL_LIBDIR}/pkgconfig")
endfunction()

function(cornelloom_install)
    set(package_dir "${CMAKE_INSTALL_LIBDIR}/cmake/cornelloom")
    install(DIRECTORY "${PROJECT_SOURCE_DIR}/src/"
            DESTINATION "${CMAKE_INSTALL_INCLUDEDIR}/cornelloom"
            FILES_MATCHING PATTERN "*.hpp" PATTERN "internal" EXCLUDE)
    set(targets cornelloom_kernel_deps cornelloom_json_deps cornelloom_transport_deps)
    foreach(library IN LISTS CORNELLOOM_LIBRARIES)
        set_target_properties(cornelloom_${library} PROPERTIES EXPORT_NAME ${library})
        list(APPEND targets cornelloom_${library})
    endforeach()
    install(TARGETS ${targets} EXPORT cornelloom
            ARCHIVE DESTINATION "${CMAKE_INSTALL_LIBDIR}"
            OBJECTS DESTINATION "${CMAKE_INSTALL_LIBDIR}/cornelloom")
    install(TARGETS cornelloom cornelloomd RUNTIME DESTINATION "${CMAKE_INSTALL_BINDIR}")
    install(EXPORT cornelloom NAMESPACE cornelloom:: FILE cornelloomTargets.cmake
            DESTINATION "${package_dir}")
    write_basic_package_version_file("${PROJECT_BINARY_DIR}/cornelloomConfigVersion.cmake"
                                     COMPATIBILITY SameMinorVersion)
    install(FILES "${PROJECT_SOURCE_DIR}/cmake/cornelloomConfig.cmake"
                  "${PROJECT_SOURCE_DIR}/cmake/cornelloom_find.cmake"
                  "${PROJECT_BINARY_DIR}/cornelloomConfigVersion.cmake"
            DESTINATION "${package_dir}")
    set(kernel_modules spdlog liburcu-bp libxxhash prometheus-cpp-core)
    cornelloom_pkg_config(kernel LIBS kernel REQUIRES ${kernel_modules})
    cornelloom_pkg_config(decide LIBS decide kernel REQUIRES ${kernel_modules})
    cornelloom_pkg_config(coord LIBS coord kernel REQUIRES ${kernel_modules})
    cornelloom_pkg_config(client LIBS client transport coord kernel
                          REQUIRES ${kernel_modules} libsodium libnghttp2)
endfunction()
