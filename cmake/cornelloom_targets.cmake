# Helpers that turn a folder of sources into a library, programs or tests.

set(CORNELLOOM_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual)

# cornelloom_add_library(<name> [PLUGINS] DEPENDS <targets>): src/<name>/ becomes target
# cornelloom_<name>. PLUGINS makes an object library: a linker leaves out members of a static library
# that nothing refers to, and a plug-in that registers itself is just that.
function(cornelloom_add_library name)
    cmake_parse_arguments(arg "PLUGINS" "" "DEPENDS" ${ARGN})
    set(kind STATIC)
    if(arg_PLUGINS)
        set(kind OBJECT)
    endif()
    file(GLOB sources CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/src/${name}/*.cpp"
         "${PROJECT_SOURCE_DIR}/src/${name}/internal/*.cpp")
    if(sources)
        add_library(cornelloom_${name} ${kind} ${sources})
        target_compile_options(cornelloom_${name} PRIVATE ${CORNELLOOM_WARNINGS})
        target_compile_definitions(cornelloom_${name} PRIVATE
            CORNELLOOM_VERSION="${PROJECT_VERSION}")
        set(scope PUBLIC)
    else()
        add_library(cornelloom_${name} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_include_directories(cornelloom_${name} ${scope}
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src> $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/cornelloom>)
    target_link_libraries(cornelloom_${name} ${scope} ${arg_DEPENDS})
endfunction()

# cornelloom_add_programs(<folder> DEPENDS <targets>): each *.cpp directly in the folder is a program;
# <folder>/internal/*.cpp is shared by all of them.
function(cornelloom_add_programs folder)
    cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
    file(GLOB mains CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/${folder}/*.cpp")
    file(GLOB shared CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/${folder}/internal/*.cpp")
    list(FILTER shared EXCLUDE REGEX "/bench/internal/policy_")
    set(shared_target "")
    if(shared)
        set(shared_target cornelloom_${folder}_shared)
        add_library(${shared_target} STATIC ${shared})
        target_include_directories(${shared_target} PUBLIC "${PROJECT_SOURCE_DIR}")
        target_compile_options(${shared_target} PRIVATE ${CORNELLOOM_WARNINGS})
        target_link_libraries(${shared_target} PUBLIC ${arg_DEPENDS})
    endif()
    foreach(main IN LISTS mains)
        get_filename_component(program "${main}" NAME_WE)
        add_executable(${program} "${main}")
        target_compile_options(${program} PRIVATE ${CORNELLOOM_WARNINGS})
        target_include_directories(${program} PRIVATE "${PROJECT_SOURCE_DIR}")
        target_link_libraries(${program} PRIVATE ${shared_target} ${arg_DEPENDS})
    endforeach()
endfunction()

# platform/: the adapter to the users' platform. An object library, for it registers itself.
function(cornelloom_add_platform)
    file(GLOB sources CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/platform/*.cpp")
    add_library(cornelloom_platform OBJECT ${sources})
    target_compile_options(cornelloom_platform PRIVATE ${CORNELLOOM_WARNINGS})
    target_include_directories(cornelloom_platform PUBLIC "${PROJECT_SOURCE_DIR}")
    target_link_libraries(cornelloom_platform PUBLIC cornelloom_front)
endfunction()

# apps/front/: the daemon for the users' platform. It links only what it needs: its resident memory
# and its start are paid for on each host.
function(cornelloom_add_front_program)
    add_executable(cornelloom_frontd "${PROJECT_SOURCE_DIR}/apps/front/cornelloom_frontd.cpp")
    target_compile_options(cornelloom_frontd PRIVATE ${CORNELLOOM_WARNINGS})
    target_link_libraries(cornelloom_frontd PRIVATE cornelloom_platform)
    target_link_options(cornelloom_frontd PRIVATE -Wl,--as-needed)
endfunction()

# platform/standins/ and soak/: the stand-ins that speak the platform's wire, and the fault soak.
function(cornelloom_add_soak)
    file(GLOB standins CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/platform/standins/*.cpp")
    add_library(cornelloom_platform_standins STATIC ${standins})
    target_compile_options(cornelloom_platform_standins PRIVATE ${CORNELLOOM_WARNINGS})
    target_link_libraries(cornelloom_platform_standins PUBLIC cornelloom_platform)
    find_package(Boost 1.74 REQUIRED COMPONENTS filesystem)
    file(GLOB shared CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/soak/internal/*.cpp")
    add_library(cornelloom_soak STATIC ${shared})
    target_compile_options(cornelloom_soak PRIVATE ${CORNELLOOM_WARNINGS})
    target_include_directories(cornelloom_soak PUBLIC "${PROJECT_SOURCE_DIR}")
    target_link_libraries(cornelloom_soak PUBLIC cornelloom_platform_standins Boost::filesystem)
    add_executable(soak "${PROJECT_SOURCE_DIR}/soak/soak.cpp")
    target_compile_options(soak PRIVATE ${CORNELLOOM_WARNINGS})
    # An object library comes along only when it is named.
    target_link_libraries(soak PRIVATE cornelloom_soak cornelloom_platform)
endfunction()

# bench/internal/policy_*.cpp: built once, for bench_policy and for the tests of decide.
function(cornelloom_add_decide_fake)
    file(GLOB sources CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/bench/internal/policy_*.cpp")
    add_library(cornelloom_decide_fake STATIC ${sources})
    target_include_directories(cornelloom_decide_fake PUBLIC "${PROJECT_SOURCE_DIR}")
    target_compile_options(cornelloom_decide_fake PRIVATE ${CORNELLOOM_WARNINGS})
    target_link_libraries(cornelloom_decide_fake PUBLIC cornelloom_decide cornelloom_json_deps)
endfunction()

# One test program for each folder of tests/, grouped as the sources are.
function(cornelloom_add_tests)
    find_package(Catch2 2 REQUIRED)
    find_package(rapidcheck REQUIRED)
    add_library(cornelloom_test_main STATIC "${PROJECT_SOURCE_DIR}/tests/test_main.cpp")
    target_link_libraries(cornelloom_test_main PUBLIC Catch2::Catch2 rapidcheck)
    foreach(name IN ITEMS kernel decide coord config rollout transport loop front platform client cli
                         targets daemon soak)
        if(NOT TARGET cornelloom_${name})
            continue()
        endif()
        file(GLOB sources CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/tests/${name}/*.cpp")
        if(NOT sources)
            continue()
        endif()
        add_executable(test_${name} ${sources})
        target_compile_options(test_${name} PRIVATE ${CORNELLOOM_WARNINGS})
        target_compile_definitions(test_${name} PRIVATE
            CORNELLOOM_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
        target_include_directories(test_${name} PRIVATE "${PROJECT_SOURCE_DIR}")
        target_link_libraries(test_${name} PRIVATE cornelloom_test_main cornelloom_${name}
            cornelloom_json_deps PkgConfig::lua)
        if(name STREQUAL soak)
            # An object library comes along only when it is named.
            target_link_libraries(test_soak PRIVATE cornelloom_platform)
            target_compile_definitions(test_soak PRIVATE
                CORNELLOOM_FRONTD="$<TARGET_FILE:cornelloom_frontd>"
                CORNELLOOM_DAEMON="$<TARGET_FILE:cornelloomd>")
            add_dependencies(test_soak cornelloom_frontd cornelloomd)
        endif()
        if(TARGET cornelloom_${name}_fake)
            target_link_libraries(test_${name} PRIVATE cornelloom_${name}_fake)
        endif()
        if(name STREQUAL soak)
            # Tests in real time; these parts take about as long.
            add_test(NAME soak_ends COMMAND test_soak "[ends]")
            add_test(NAME soak_age COMMAND test_soak "[age]")
            add_test(NAME soak_starts COMMAND test_soak "[starts]")
            add_test(NAME soak COMMAND test_soak "~[ends]~[age]~[starts]")
        else()
            add_test(NAME ${name} COMMAND test_${name})
        endif()
        # A fixed seed: the same verdict in every run.
        set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261202")
    endforeach()
    if(TARGET soak)
        # Real processes in real time: it gets room beside the other tests.
        add_test(NAME soak_seeds COMMAND "${PROJECT_SOURCE_DIR}/tools/soak-seeds.sh")
        set_tests_properties(soak_seeds PROPERTIES PROCESSORS 4 TIMEOUT 600 ENVIRONMENT
            "CORNELLOOM_BUILD_DIR=${PROJECT_BINARY_DIR}")
    endif()
    add_test(NAME install COMMAND ${CMAKE_COMMAND} "-DBUILD=${PROJECT_BINARY_DIR}"
             "-DSOURCE=${PROJECT_SOURCE_DIR}/tests/install"
             "-DEXAMPLES=${PROJECT_SOURCE_DIR}/examples" "-DLIBDIR=${CMAKE_INSTALL_LIBDIR}"
             -P "${PROJECT_SOURCE_DIR}/tests/install/check_install.cmake")
endfunction()
