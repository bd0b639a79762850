# Installs the build into a folder inside it, builds the projects of this folder against that, and runs
# them. Variables: BUILD, SOURCE, EXAMPLES, LIBDIR.
set(prefix "${BUILD}/install_test/prefix")
set(consumer "${BUILD}/install_test/build")
file(REMOVE_RECURSE "${BUILD}/install_test")

function(run)
    execute_process(COMMAND ${ARGN} RESULT_VARIABLE status OUTPUT_VARIABLE out ERROR_VARIABLE out)
    if(NOT status EQUAL 0)
        message(FATAL_ERROR "${ARGN}\n${out}")
    endif()
endfunction()

run(${CMAKE_COMMAND} --install "${BUILD}" --prefix "${prefix}")
set(ENV{PKG_CONFIG_PATH} "${prefix}/${LIBDIR}/pkgconfig")
run(${CMAKE_COMMAND} -S "${SOURCE}" -B "${consumer}" -G Ninja "-DCMAKE_PREFIX_PATH=${prefix}"
    "-DEXAMPLES=${EXAMPLES}" -DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
run(${CMAKE_COMMAND} --build "${consumer}" -j 2)
foreach(program IN ITEMS consumer coord_consumer embed_coord)
    if(EXISTS "${consumer}/${program}")
        run("${consumer}/${program}")
    endif()
endforeach()
run("${prefix}/bin/cornelloom" version)
